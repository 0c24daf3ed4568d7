"""The configuration that operators change, and changes to it."""

from collections.abc import Iterator
from collections.abc import Mapping
import enum

import attrs

from guavapulley.model import _upstreams


class TrafficClass(enum.StrEnum):
    """How requests of a service are treated.

    `SHORT` reads are buffered, retried and hedged; `ONCE` requests are not
    idempotent and run at most once; `BULK` requests are streamed and may wait.
    """

    SHORT = "short"
    ONCE = "once"
    BULK = "bulk"


@attrs.frozen
class Service:
    """How requests for one service are treated.

    Attributes:
        name: Name of the service.
        traffic_class: Treatment of its requests.
        deadline_ms: Time allowed for an answer.
        max_request_bytes: Largest request body.
        max_answer_bytes: Largest buffered answer.
        expected_answer_bytes: Charged against a link before the answer's
            length is known.
    """

    name: str
    traffic_class: TrafficClass
    deadline_ms: int = 10_000
    max_request_bytes: int = 1_048_576
    max_answer_bytes: int = 4_194_304
    expected_answer_bytes: int = 16_384


@attrs.frozen
class Intent:
    """Which requests may go to which upstreams, and how much of them.

    Attributes:
        name: Name of the intent.
        requests: Selector over request labels.
        upstreams: Selector over upstream labels.
        share_percent: Part of the matching requests not taken by an intent
            of higher priority.
        priority: Intents are tried from the highest priority down.
    """

    name: str
    requests: str
    upstreams: str
    share_percent: float = 100.0
    priority: int = 0


@attrs.frozen
class LabelOverride:
    """Labels that the operator sets on upstreams over those announced.

    Attributes:
        name: Name of this object.
        upstreams: Selector over announced and automatic labels.
        labels: Labels to set; an empty value removes the label.
    """

    name: str
    upstreams: str
    labels: _upstreams.Labels


@attrs.frozen
class Drain:
    """Upstreams that get no new work.

    Attributes:
        name: Name of this object.
        upstreams: Selector over upstream labels.
    """

    name: str
    upstreams: str


@attrs.frozen
class RegionLimit:
    """Limits of one region.

    Attributes:
        name: Name of the region.
        max_in_flight: Most requests in flight from all entries together to
            upstreams of the region; 0 means the sum of their slots.
        headroom_percent: Part of the slots that requests from other regions
            leave free.
    """

    name: str
    max_in_flight: int = 0
    headroom_percent: float = 10.0


@attrs.frozen
class LinkCap:
    """Cap on the traffic between two regions, for each way.

    Attributes:
        name: The two regions in alphabetic order, joined by a blank.
        mbit_per_s: Cap in Mbit/s each way.
        max_entries: Most entries that may exist; bounds the unleased floor.
    """

    name: str
    mbit_per_s: float
    max_entries: int = 16

    def regions(self) -> tuple[str, str]:
        """Returns the two regions."""
        first, second = self.name.split(" ")
        return (first, second)


@attrs.frozen
class ClientBlock:
    """Block of caller addresses with the region nearest to it.

    Attributes:
        name: Block in CIDR notation.
        region: Nearest region.
    """

    name: str
    region: str


ConfigurationObject = (
    Service
    | Intent
    | LabelOverride
    | Drain
    | RegionLimit
    | LinkCap
    | ClientBlock
)


@attrs.frozen(order=True)
class ObjectKey:
    """Kind and name of a configuration object.

    Attributes:
        kind: `service`, `intent`, `label`, `drain`, `region`, `link` or
            `block`.
        name: Name within the kind.
    """

    kind: str
    name: str


OBJECT_KINDS: Mapping[type, str] = {
    Service: "service",
    Intent: "intent",
    LabelOverride: "label",
    Drain: "drain",
    RegionLimit: "region",
    LinkCap: "link",
    ClientBlock: "block",
}


def object_key(item: ConfigurationObject) -> ObjectKey:
    """Returns the key of a configuration object.

    >>> str(object_key(Drain("rack-7", "rack = 7")).kind)
    'drain'
    """
    return ObjectKey(OBJECT_KINDS[type(item)], item.name)


@attrs.frozen
class Configuration:
    """All configuration objects at one revision.

    Attributes:
        revision: Log index of the last accepted change; 0 before the first.
        objects: Objects in the order of their keys.
    """

    revision: int = 0
    objects: tuple[ConfigurationObject, ...] = ()

    def of_kind(self, kind: str) -> Iterator[ConfigurationObject]:
        """Yields the objects of a kind."""
        return (item for item in self.objects if object_key(item).kind == kind)

    def services(self) -> dict[str, Service]:
        """Returns the services by name."""
        return {o.name: o for o in self.objects if isinstance(o, Service)}

    def intents(self) -> list[Intent]:
        """Returns the intents from the highest priority down, then by name."""
        found = (o for o in self.objects if isinstance(o, Intent))
        return sorted(found, key=lambda o: (-o.priority, o.name))

    def replaced(
        self,
        revision: int,
        puts: tuple[ConfigurationObject, ...],
        deletes: tuple[ObjectKey, ...],
    ) -> "Configuration":
        """Returns the configuration after a change.

        Args:
            revision: Log index of the change.
            puts: Objects to add or replace.
            deletes: Keys to remove; absent ones are ignored.
        """
        table = {object_key(item): item for item in self.objects}
        table.update({object_key(item): item for item in puts})
        for key in deletes:
            table.pop(key, None)
        return Configuration(
            revision, tuple(table[key] for key in sorted(table))
        )


@attrs.frozen
class Change:
    """A change asked for by an operator.

    Attributes:
        request_id: Drawn by the operator's client; a resend repeats it.
        base_revision: Revision that the operator saw.
        operator: Who asks.
        puts: Objects to add or replace.
        deletes: Objects to remove.
        comment: Reason, for the history.
    """

    request_id: str
    base_revision: int
    operator: str
    puts: tuple[ConfigurationObject, ...] = ()
    deletes: tuple[ObjectKey, ...] = ()
    comment: str = ""


class VerdictKind(enum.StrEnum):
    """Verdict of the state machine on a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"


@attrs.frozen
class Verdict:
    """Verdict on a change; a resend gets the same one.

    Attributes:
        kind: The verdict.
        revision: Revision of the change when accepted, else the current one.
        message: Reason when not accepted.
    """

    kind: VerdictKind
    revision: int
    message: str = ""
