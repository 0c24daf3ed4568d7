"""Renewal of an entry's leased shares of the links between regions."""

from typing import Protocol

import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports

# A lease lasts 2 s, so it survives the loss of one renewal.
RENEWAL_INTERVAL_S = 0.8
RENEWAL_TIMEOUT_S = 0.7


class LeasedLinks(Protocol):
    """Leased shares of this entry in the links between regions."""

    def demands(self) -> tuple[model.ShareDemand, ...]:
        """Returns the demand for each link since the last call."""

    def apply_grants(
        self, reply: model.LeaseShareReply, sent_at_s: float
    ) -> None:
        """Replaces the shares by those that the leader granted.

        Args:
            reply: Grants of the leader.
            sent_at_s: Time of the request in seconds of trio's clock, from
                which the leases count.
        """


async def renew_leases(
    entry: str,
    control: ports.ControlPlane,
    links: LeasedLinks,
    events: ports.EventLog,
) -> None:
    """Renews the leases of link shares at the leader until cancelled.

    Args:
        entry: Name of this entry.
        control: The control replicas.
        links: Provides the demand and receives the grants.
        events: Receives failed renewals.
    """
    while True:
        started_at_s = trio.current_time()
        demands = links.demands()
        if demands:
            request = model.LeaseShare(entry, demands)
            try:
                reply = await control.lease_shares(request, RENEWAL_TIMEOUT_S)
            except errors.GuavapulleyError as error:
                events.write("lease:not_renewed", code=error.code)
            else:
                links.apply_grants(reply, started_at_s)
        await trio.sleep_until(started_at_s + RENEWAL_INTERVAL_S)
