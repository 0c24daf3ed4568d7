"""Which entries a caller should use."""

from collections.abc import Iterable
from collections.abc import Iterator

import attrs
import xxhash

from guavapulley import model
from guavapulley import ports

LOOKUP_LIFETIME_S = 10.0
# Enough to outlive the loss of a failure domain; bounds the answer.
MAX_ENTRIES = 8


@attrs.frozen
class LookupAnswer:
    """Entries in the order in which the caller should try them.

    Attributes:
        region: Region that the entries were ordered for.
        entries: Entries, best first.
        lifetime_s: Time for which the answer may be used.
    """

    region: str
    entries: tuple[model.EntryRecord, ...]
    lifetime_s: float = LOOKUP_LIFETIME_S


class Lookup:
    """Orders the live entries for callers."""

    def __init__(self, view: ports.SteeringView) -> None:
        self.view = view

    def find(self, service: str, region: str, caller: str) -> LookupAnswer:
        """Returns the entries for a caller.

        Entries of the caller's region come first. Within a region the order
        follows from rendezvous hashing (Thaler and Ravishankar, 1998), so
        that callers spread evenly and keep their entry when others leave.

        Args:
            service: Service that the caller wants.
            region: Region of the caller.
            caller: Address of the caller.
        """
        usable = _usable(self.view.live_entries())

        def order(entry: model.EntryRecord) -> tuple[bool, bool, int, str]:
            away = entry.region != region
            cut_off = entry.state is model.EntryState.DETACHED
            text = f"{caller}\0{service}\0{entry.name}".encode()
            weight = xxhash.xxh3_64_intdigest(text)
            return (cut_off, away, -weight, entry.name)

        ordered = sorted(usable, key=order)
        return LookupAnswer(region, tuple(ordered[:MAX_ENTRIES]))


def _usable(
    entries: Iterable[model.EntryRecord],
) -> Iterator[model.EntryRecord]:
    named = {model.EntryState.ALIVE, model.EntryState.DETACHED}
    return (entry for entry in entries if entry.state in named)
