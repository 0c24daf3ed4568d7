"""Lending of slots between entries.

Counts of requests in flight reach other entries up to 2 s late. An entry that
borrowed slots based on these counts would overload a region when the load of
the owner returns. Entries therefore gossip claims. An entry that lacks slots
claims more than it owns. An entry that needs few of its slots then claims only
a quarter of them and observes that limit as soon as it publishes the claim. It
reclaims the slots by claiming them and waiting until every borrower has
received the claim. The unclaimed slots are shared by the entries that lack
slots.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import math

import attrs

from guavapulley import model
from guavapulley.steering import _settings
from guavapulley.steering import _windows

UPDATE_INTERVAL_S = 0.25
# The peak need within this window counts, so that an entry with varying load
# does not lend slots during short pauses.
NEED_WINDOW_S = 5.0
# An entry lends slots when it needs at most this fraction of its own.
LEND_BELOW_FRACTION = 0.25
RETAINED_FRACTION = 0.25
# Requests of borrowers are expected to end within this multiple of the mean
# duration of a request.
DRAIN_FACTOR = 3.0
# Weight of each update in the moving average of the need, which spans about
# 2.5 s. Claims for single bursts would make lenders wait for their own slots.
MEAN_NEED_WEIGHT = 0.1


@attrs.define
class Claim:
    """Claim of this entry in one region.

    Attributes:
        slots: Number of claimed slots, as published by gossip.
        limit: Number of own slots that may be used now.
        restored_at_s: Time from which all own slots may be used again.
        shortage_since_s: Time since which more than the own slots are claimed;
            infinite if they are not.
        need: Window of the slots needed for running and waiting requests.
        mean_need: Moving average of the needed slots.
    """

    slots: int
    limit: int
    restored_at_s: float = 0.0
    shortage_since_s: float = math.inf
    need: _windows.PeakWindow = attrs.field(
        factory=lambda: _windows.PeakWindow(NEED_WINDOW_S)
    )
    mean_need: float = 0.0


class Lending:
    """Claims of all entries on the slots of one service in one region.

    Only entries of the region borrow slots; the headroom of the region limits
    the others.

    Attributes:
        entry: Name of this entry.
        settings: Constants of the steering policy.
        quotas: Number of allocated slots in the region by entry.
        local_entries: Names of the entries in the region.
        changed_at_s: Time of the last change of the quotas.
        updated_at_s: Time of the last update of the own claim.
        claim: Claim of this entry.
        claims_of_others: Peaks of the claimed slots of other entries.
    """

    def __init__(
        self, entry: str, settings: _settings.SteeringSettings
    ) -> None:
        self.entry = entry
        self.settings = settings
        self.quotas: dict[str, int] = {}
        self.local_entries: set[str] = set()
        self.changed_at_s = 0.0
        self.updated_at_s = -math.inf
        self.claim = Claim(0, 0)
        self.claims_of_others: dict[str, _windows.PeakWindow] = {}

    def apply_allocation(
        self, quotas: Mapping[str, int], local_entries: set[str], now_s: float
    ) -> None:
        """Applies a new allocation and resets all lending.

        Args:
            quotas: Number of allocated slots in the region by entry.
            local_entries: Names of the entries in the region.
            now_s: Current time on trio's clock.
        """
        self.local_entries = local_entries
        if quotas == self.quotas:
            return
        self.quotas = dict(quotas)
        self.changed_at_s = now_s
        # Claims under the old allocation would look like shortages or
        # surpluses.
        self.claims_of_others.clear()
        own_quota = self.quotas.get(self.entry, 0)
        # Borrowers may use lent slots until they receive the allocation.
        self.claim = attrs.evolve(
            self.claim,
            slots=own_quota,
            limit=min(own_quota, self.claim.limit),
            restored_at_s=now_s + self.settings.gossip_window_s,
            shortage_since_s=math.inf,
        )

    def record_claims(
        self, entries: Sequence[model.EntryRecord], key: str, now_s: float
    ) -> None:
        """Records the claims that other entries have published.

        Args:
            entries: Records of the live entries.
            key: Key of the claim in these records.
            now_s: Current time on trio's clock.
        """
        if not self._is_settled(now_s):
            # Entries that do not have the new allocation yet claim what they
            # owned before, which would look like a shortage.
            return
        for entry in entries:
            if entry.name == self.entry:
                continue
            claimed = entry.claims.get(key, self.quotas.get(entry.name, 0))
            window = self.claims_of_others.setdefault(
                entry.name, _windows.PeakWindow(self.settings.gossip_window_s)
            )
            window.add(now_s, claimed)

    def update(self, need: float, mean_duration_s: float, now_s: float) -> None:
        """Adapts the claim of this entry to its need.

        Args:
            need: Slots needed for the requests of this entry that run in the
                region or wait.
            mean_duration_s: Mean duration of a request.
            now_s: Current time on trio's clock.
        """
        own_quota = self.quotas.get(self.entry, 0)
        claim = self.claim
        claim.need.add(now_s, need)
        if now_s < self.updated_at_s + UPDATE_INTERVAL_S:
            return
        self.updated_at_s = now_s
        peak_need = claim.need.value(now_s)
        if now_s >= claim.restored_at_s:
            claim.limit = max(claim.limit, min(own_quota, claim.slots))
        claim.mean_need += MEAN_NEED_WEIGHT * (need - claim.mean_need)
        if claim.mean_need > own_quota and self.entry in self.local_entries:
            self._claim_extra_slot(own_quota, mean_duration_s, now_s)
        elif (
            peak_need <= own_quota * LEND_BELOW_FRACTION
            and self._is_settled(now_s)
            and self._has_borrower(now_s)
        ):
            retained = math.ceil(own_quota * RETAINED_FRACTION)
            claim.slots, claim.limit = retained, retained
            claim.shortage_since_s = math.inf
        elif peak_need <= own_quota or claim.slots < own_quota:
            # Slots are reclaimed even if this entry does not need them yet, so
            # that they are usable before its load rises.
            self._reclaim(own_quota, mean_duration_s, now_s)
            claim.slots = own_quota
            claim.shortage_since_s = math.inf

    def _claim_extra_slot(
        self, own_quota: int, mean_duration_s: float, now_s: float
    ) -> None:
        if self.claim.slots <= own_quota:
            self._reclaim(own_quota, mean_duration_s, now_s)
            self.claim.slots = own_quota + 1
            self.claim.shortage_since_s = now_s

    def _reclaim(
        self, own_quota: int, mean_duration_s: float, now_s: float
    ) -> None:
        """Sets the time from which lent slots may be used again."""
        if self.claim.slots < own_quota:
            wait_s = (
                self.settings.gossip_window_s + DRAIN_FACTOR * mean_duration_s
            )
            self.claim.restored_at_s = now_s + wait_s

    def _has_borrower(self, now_s: float) -> bool:
        """Returns whether another entry of the region claims extra slots."""
        return any(
            window.value(now_s) > self.quotas.get(name, 0)
            for name, window in self.claims_of_others.items()
            if name in self.local_entries
        )

    def published_claim(self, now_s: float) -> int | None:
        """Returns the claim to publish, or None for exactly the own slots.

        No claim is published just after a change, because an entry that has
        just started may assume that it owns all slots.
        """
        return self.claim.slots if self._is_settled(now_s) else None

    def _is_settled(self, now_s: float) -> bool:
        return now_s >= self.changed_at_s + self.settings.ownership_delay_s

    def borrowable_slots(self, now_s: float) -> int:
        """Returns the number of slots of other entries that may be used."""
        claimed_since_s = self.claim.shortage_since_s
        is_published = now_s >= claimed_since_s + self.settings.gossip_window_s
        if not is_published or not self._is_settled(now_s):
            return 0
        surplus, borrowers = 0, [self.entry]
        for name, quota in self.quotas.items():
            if name == self.entry:
                continue
            window = self.claims_of_others.get(name)
            claimed = int(window.value(now_s)) if window else quota
            surplus += max(0, quota - claimed)
            if claimed > quota and name in self.local_entries:
                borrowers.append(name)
        borrowers.sort()
        share, remainder = divmod(surplus, len(borrowers))
        return share + (borrowers.index(self.entry) < remainder)
