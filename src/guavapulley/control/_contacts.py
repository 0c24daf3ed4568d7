"""What control replicas know of the entries that watch them."""

from collections.abc import Iterable

import attrs
import trio

from guavapulley import model

# An entry without contact for this long was replaced, not cut off.
FORGET_S = 3_600.0


@attrs.define
class _Seen:
    revision: int
    heard_at_s: float


class Contacts:
    """Revision in force and last contact of entries, at one replica."""

    def __init__(self) -> None:
        self.seen: dict[str, _Seen] = {}

    def note(self, entry: str, revision: int) -> None:
        """Notes what an entry said of itself."""
        self.seen[entry] = _Seen(revision, trio.current_time())

    def report(self) -> tuple[model.EntryContact, ...]:
        """Returns the entries heard of within `FORGET_S`, by name."""
        now_s = trio.current_time()
        for name, seen in list(self.seen.items()):
            if now_s - seen.heard_at_s > FORGET_S:
                del self.seen[name]
        return tuple(
            model.EntryContact(name, seen.revision, now_s - seen.heard_at_s)
            for name, seen in sorted(self.seen.items())
        )


def newest_contacts(
    reports: Iterable[tuple[model.EntryContact, ...]],
) -> dict[str, model.EntryContact]:
    """Returns the newest contact of each entry over all replicas."""
    newest: dict[str, model.EntryContact] = {}
    for contact in (item for report in reports for item in report):
        known = newest.get(contact.entry)
        if known is None or contact.age_s < known.age_s:
            newest[contact.entry] = contact
    return newest
