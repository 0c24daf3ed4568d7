"""Renews the link shares of an entry."""

from typing import Protocol

import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports

# A lease lasts 2 s, so one renewal can be lost.
RENEWAL_INTERVAL_S = 0.8
RENEWAL_TIMEOUT_S = 0.7


class LeasedLinks(Protocol):
    """The shares of this entry in the links between regions."""

    def demands(self) -> tuple[model.ShareDemand, ...]:
        """Returns the demand since the last call."""

    def apply_grants(
        self, reply: model.LeaseShareReply, sent_at_s: float
    ) -> None:
        """Takes over leased shares; they count from `sent_at_s`."""


async def renew_leases(
    entry: str,
    control: ports.ControlPlane,
    links: LeasedLinks,
    events: ports.EventLog,
) -> None:
    """Asks the leader for link shares until cancelled.

    Args:
        entry: Name of this entry.
        control: The control replicas.
        links: Gives the demand and takes the shares.
        events: Receives failed renewals.
    """
    while True:
        started_at_s = trio.current_time()
        demands = links.demands()
        if demands:
            request = model.LeaseShare(entry, demands)
            try:
                reply = await control.lease(request, RENEWAL_TIMEOUT_S)
            except errors.GuavapulleyError as error:
                events.write("lease:not_renewed", code=error.code)
            else:
                links.apply_grants(reply, started_at_s)
        await trio.sleep_until(started_at_s + RENEWAL_INTERVAL_S)
