"""The steering configuration and the changes that operators make to it."""

from collections.abc import Iterator
from collections.abc import Mapping
import enum

import attrs

from guavapulley.model import _upstreams


class TrafficClass(enum.StrEnum):
    """The class by which requests of a service are handled.

    `SHORT` reads are buffered, retried and hedged; `ONCE` requests are not
    idempotent and run at most once; `BULK` requests are streamed and may wait.
    """

    SHORT = "short"
    ONCE = "once"
    BULK = "bulk"


@attrs.frozen
class Service:
    """A service and the limits on its requests.

    Attributes:
        name: Name of the service.
        traffic_class: Class by which its requests are handled.
        deadline_ms: Deadline for an answer, in milliseconds after the arrival
            of the request.
        max_request_bytes: Maximum size of a request body in bytes.
        max_answer_bytes: Maximum size of a buffered answer in bytes.
        expected_answer_bytes: Number of bytes charged against a link before
            the length of the answer is known.
    """

    name: str
    traffic_class: TrafficClass
    deadline_ms: int = 10_000
    max_request_bytes: int = 1_048_576
    max_answer_bytes: int = 4_194_304
    expected_answer_bytes: int = 16_384


@attrs.frozen
class Intent:
    """A rule that sends some of the matching requests to given upstreams.

    Attributes:
        name: Name of the intent.
        requests: Selector over request labels.
        upstreams: Selector over upstream labels.
        share_percent: Percentage of the matching requests to which no intent
            of higher priority applies.
        priority: Priority of the intent. Intents are evaluated from the
            highest priority to the lowest.
    """

    name: str
    requests: str
    upstreams: str
    share_percent: float = 100.0
    priority: int = 0


@attrs.frozen
class LabelOverride:
    """Labels set by an operator that override those announced by upstreams.

    Attributes:
        name: Name of the object.
        upstreams: Selector over announced and automatic labels.
        labels: Labels to set; an empty value removes the label.
    """

    name: str
    upstreams: str
    labels: _upstreams.Labels


@attrs.frozen
class Drain:
    """Upstreams that receive no new requests.

    Attributes:
        name: Name of the object.
        upstreams: Selector over upstream labels.
    """

    name: str
    upstreams: str


@attrs.frozen
class RegionLimit:
    """Limits on the load of one region.

    Attributes:
        name: Name of the region.
        max_in_flight: Maximum number of requests in flight from all entries
            together to upstreams of the region; 0 means the sum of their
            slots.
        headroom_percent: Percentage of the slots that requests from other
            regions may not use.
    """

    name: str
    max_in_flight: int = 0
    headroom_percent: float = 10.0


@attrs.frozen
class LinkCap:
    """A cap on the traffic between two regions in each direction.

    Attributes:
        name: The two regions in alphabetical order, separated by a space.
        mbit_per_s: Cap on each direction in Mbit/s.
        max_entries: Maximum number of entries that may exist; it bounds the
            floor that entries may use without a lease.
    """

    name: str
    mbit_per_s: float
    max_entries: int = 16

    def regions(self) -> tuple[str, str]:
        """Returns the names of the two regions."""
        first, second = self.name.split(" ")
        return (first, second)


@attrs.frozen
class ClientBlock:
    """A block of caller addresses and the region nearest to it.

    Attributes:
        name: Address block in CIDR notation.
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
        name: Name, unique within the kind.
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


def object_key(configuration_object: ConfigurationObject) -> ObjectKey:
    """Returns the key of a configuration object.

    >>> str(object_key(Drain("rack-7", "rack = 7")).kind)
    'drain'
    """
    return ObjectKey(
        OBJECT_KINDS[type(configuration_object)], configuration_object.name
    )


@attrs.frozen
class Configuration:
    """The set of configuration objects at one revision.

    Attributes:
        revision: Log index of the last accepted change; 0 before the first.
        objects: Objects sorted by their keys.
    """

    revision: int = 0
    objects: tuple[ConfigurationObject, ...] = ()

    def objects_of_kind(self, kind: str) -> Iterator[ConfigurationObject]:
        """Yields the objects of a kind, such as `link`."""
        return (item for item in self.objects if object_key(item).kind == kind)

    def services(self) -> dict[str, Service]:
        """Returns the services by name."""
        return {o.name: o for o in self.objects if isinstance(o, Service)}

    def intents(self) -> list[Intent]:
        """Returns the intents by descending priority, then by name."""
        intents = (o for o in self.objects if isinstance(o, Intent))
        return sorted(intents, key=lambda o: (-o.priority, o.name))

    def with_changes(
        self,
        revision: int,
        puts: tuple[ConfigurationObject, ...],
        deletes: tuple[ObjectKey, ...],
    ) -> "Configuration":
        """Returns a copy with a change applied.

        Args:
            revision: Revision of the result, which is the log index of the
                change.
            puts: Objects to add or replace.
            deletes: Keys of the objects to remove; absent ones are ignored.
        """
        objects_by_key = {object_key(item): item for item in self.objects}
        objects_by_key.update({object_key(item): item for item in puts})
        for key in deletes:
            objects_by_key.pop(key, None)
        return Configuration(
            revision,
            tuple(objects_by_key[key] for key in sorted(objects_by_key)),
        )


@attrs.frozen
class Change:
    """A configuration change requested by an operator.

    Attributes:
        request_id: ID generated by the operator's client; a resend has the same
            ID.
        base_revision: Revision on which the change is based.
        operator: Name of the operator.
        puts: Objects to add or replace.
        deletes: Keys of the objects to remove.
        comment: Reason for the change, kept in the history.
    """

    request_id: str
    base_revision: int
    operator: str
    puts: tuple[ConfigurationObject, ...] = ()
    deletes: tuple[ObjectKey, ...] = ()
    comment: str = ""


class VerdictKind(enum.StrEnum):
    """Kinds of verdicts of the state machine on a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"


@attrs.frozen
class Verdict:
    """Verdict on a change; a resend gets the same one.

    Attributes:
        kind: Kind of the verdict.
        revision: Revision created by an accepted change, else the current one.
        message: Reason if the change is not accepted.
    """

    kind: VerdictKind
    revision: int
    message: str = ""
