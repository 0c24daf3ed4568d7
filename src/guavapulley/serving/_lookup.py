"""Lookup of the entries that a caller should use."""

from collections.abc import Iterable
from collections.abc import Iterator

import attrs
import xxhash

from guavapulley import model
from guavapulley import ports

LOOKUP_LIFETIME_S = 10.0
# Enough to survive the loss of a failure domain; limits the size of a result.
MAX_ENTRIES = 8


@attrs.frozen
class LookupResult:
    """Entries in the order in which the caller should try them.

    Attributes:
        region: Region for which the entries were ordered.
        entries: Entries, most preferred first.
        lifetime_s: Seconds for which the caller may use the result.
    """

    region: str
    entries: tuple[model.EntryRecord, ...]
    lifetime_s: float = LOOKUP_LIFETIME_S


class Lookup:
    """Orders the live entries by the preference of each caller.

    Args:
        view: Provides the live entries.
    """

    def __init__(self, view: ports.SteeringView) -> None:
        self.view = view

    def find_entries(
        self, service: str, region: str, caller: str
    ) -> LookupResult:
        """Returns the entries that a caller should use.

        Detached entries come last, and entries of the caller's region before
        others. Within these groups the order is given by rendezvous hashing
        (Thaler and Ravishankar, 1998), which balances the callers and leaves
        a caller at its entry when other entries leave.

        Args:
            service: Service that the caller uses.
            region: Region of the caller.
            caller: Address of the caller.
        """
        listed = _listed_entries(self.view.live_entries())

        def sort_key(entry: model.EntryRecord) -> tuple[bool, bool, int, str]:
            in_other_region = entry.region != region
            is_detached = entry.state is model.EntryState.DETACHED
            hash_input = f"{caller}\0{service}\0{entry.name}".encode()
            weight = xxhash.xxh3_64_intdigest(hash_input)
            return (is_detached, in_other_region, -weight, entry.name)

        ordered = sorted(listed, key=sort_key)
        return LookupResult(region, tuple(ordered[:MAX_ENTRIES]))


def _listed_entries(
    entries: Iterable[model.EntryRecord],
) -> Iterator[model.EntryRecord]:
    listed_states = {model.EntryState.ALIVE, model.EntryState.DETACHED}
    return (entry for entry in entries if entry.state in listed_states)
