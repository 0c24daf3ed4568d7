"""Last contacts of entries with control replicas."""

from collections.abc import Iterable

import attrs
import trio

from guavapulley import model

# An entry without contact for longer than this counts as replaced rather than
# partitioned.
CONTACT_RETENTION_S = 3_600.0


@attrs.define
class _Contact:
    revision: int
    time_s: float


class EntryContacts:
    """Last contacts of entries with one replica and their revisions.

    Attributes:
        contacts: Last contact of each entry, by name.
    """

    def __init__(self) -> None:
        self.contacts: dict[str, _Contact] = {}

    def record(self, entry: str, revision: int) -> None:
        """Records a contact of an entry that has applied a revision."""
        self.contacts[entry] = _Contact(revision, trio.current_time())

    def report(self) -> tuple[model.EntryContact, ...]:
        """Returns the contacts within `CONTACT_RETENTION_S`, by entry name.

        Older contacts are dropped.
        """
        now_s = trio.current_time()
        for name, contact in list(self.contacts.items()):
            if now_s - contact.time_s > CONTACT_RETENTION_S:
                del self.contacts[name]
        return tuple(
            model.EntryContact(name, contact.revision, now_s - contact.time_s)
            for name, contact in sorted(self.contacts.items())
        )


def newest_contacts(
    reports: Iterable[tuple[model.EntryContact, ...]],
) -> dict[str, model.EntryContact]:
    """Returns the newest reported contact of each entry, by entry name."""
    newest: dict[str, model.EntryContact] = {}
    for contact in (item for report in reports for item in report):
        existing = newest.get(contact.entry)
        if existing is None or contact.age_s < existing.age_s:
            newest[contact.entry] = contact
    return newest
