"""Replicated state machine of routing, evacuations, upstreams and entries."""

import collections
from collections.abc import Iterator
from typing import TypeVar

import attrs

from guavapulley import errors
from guavapulley import model
from guavapulley import ports
from guavapulley.fleet import _recent
from guavapulley.fleet import _validation

T = TypeVar("T")

# Accepted routing changes that are acknowledged again when resent.
MAX_ACCEPTED_CHANGES = 10_000
# Departed upstreams that are kept so that a late renewal does not record them
# again.
MAX_DEPARTED_UPSTREAMS = 10_000
# Expired upstreams whose last record is known.
MAX_EXPIRED_UPSTREAMS = 10_000
# Entries and failure domains whose last change is known.
MAX_CHANGE_INDEXES = 10_000

COMMAND_NOT_FLEET = errors.register_code(
    "COMMAND_NOT_FLEET", "The log holds a command that is not a fleet command."
)


class FleetError(errors.GuavapulleyError):
    """The fleet state does not permit an entry of the log or a call."""


@attrs.frozen
class LastRecord:
    """What is known of the last record of an upstream.

    Attributes:
        incarnation: Incarnation of the record.
        sequence: Sequence number of the record.
        leaving: Whether the incarnation was leaving.
    """

    incarnation: int
    sequence: int
    leaving: bool

    @classmethod
    def of(cls, record: model.UpstreamRecord) -> "LastRecord":
        """Returns what is kept of a record."""
        leaving = record.state is model.UpstreamState.LEAVING
        return cls(record.incarnation, record.sequence, leaving)

    def may_precede(self, record: model.UpstreamRecord) -> bool:
        """Returns whether a record of the same upstream may follow.

        An upstream that is leaving stays in that state for the rest of its
        incarnation.
        """
        if (self.incarnation, self.sequence) >= record.version():
            return False
        return not (self.leaving and self.incarnation == record.incarnation)


@attrs.frozen
class FleetSnapshot:
    """Snapshot of the state machine.

    Attributes:
        state: The fleet state that entries receive.
        accepted: Versions of accepted routing changes by content hash, oldest
            first.
        departed: Incarnations of departed upstreams by name, oldest departure
            first.
        node_indexes: Log indexes of the last changes of entries by name, oldest
            change first.
        evacuation_indexes: Log indexes of the last accepted evacuation commands
            by failure domain, oldest command first.
        expired: Last records of expired upstreams by name, oldest expiry first.
    """

    state: model.FleetState
    accepted: dict[str, int]
    departed: dict[str, int]
    node_indexes: dict[str, int] = attrs.field(factory=dict)
    evacuation_indexes: dict[str, int] = attrs.field(factory=dict)
    expired: dict[str, LastRecord] = attrs.field(factory=dict)


# Types that the codec must support in addition to those of the model.
CODEC_TYPES: tuple[type, ...] = (FleetSnapshot,)


class FleetStateMachine:
    """Validates and applies fleet commands (`ports.StateMachine`).

    The state depends only on the log, so all replicas agree.

    Args:
        codec: Codec that supports `CODEC_TYPES`.

    Attributes:
        state: The fleet state that entries receive.
        accepted: Versions of accepted routing changes by content hash, oldest
            first.
        departed: Incarnations of departed upstreams by name, oldest departure
            first.
        node_indexes: Log indexes of the last changes of entries by name, oldest
            change first.
        evacuation_indexes: Log indexes of the last accepted evacuation commands
            by failure domain, oldest command first. Commands without effect
            count as well: an order that was acknowledged must not be undone by
            an older one.
        expired: Last records of expired upstreams by name, oldest expiry first.
        recent: The newest commands that changed the state.
    """

    def __init__(self, codec: ports.Codec) -> None:
        self.codec = codec
        self.state = model.FleetState()
        self.accepted: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.departed: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.node_indexes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.evacuation_indexes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.expired: collections.OrderedDict[str, LastRecord] = (
            collections.OrderedDict()
        )
        self.recent = _recent.RecentCommands()

    def apply(self, index: int, payload: bytes) -> object:
        """Applies a committed command.

        Args:
            index: Log index of the command.
            payload: Encoded `ProposeCommand`.

        Returns:
            The `FleetVerdict` on the command.

        Raises:
            FleetError: The payload is another message.
        """
        message = self.codec.decode(payload)
        if not isinstance(message, model.ProposeCommand):
            raise FleetError(
                COMMAND_NOT_FLEET,
                f"not a fleet command: {type(message).__name__}",
            )
        command = message.command
        refusal = self._find_refusal(command)
        if isinstance(command, model.RemoveUpstream):
            self._record_removal(command)
        if refusal is None:
            if self._is_effective(command):
                self.state = model.apply_fleet_command(self.state, command)
                self.recent.append(index, len(payload), command)
            self._record_change_index(index, command)
        self.state = attrs.evolve(self.state, index=index)
        version = self.state.routing.version
        if refusal is not None:
            return attrs.evolve(refusal, version=version)
        return model.FleetVerdict(accepted=True, version=version)

    def _record_change_index(
        self, index: int, command: model.FleetCommand
    ) -> None:
        match command:
            case model.SetEvacuation(domain):
                _set_newest(
                    self.evacuation_indexes, domain, index, MAX_CHANGE_INDEXES
                )
            case model.RecordNode(node):
                _set_newest(
                    self.node_indexes, node.name, index, MAX_CHANGE_INDEXES
                )
            case model.RemoveNode(name):
                _set_newest(self.node_indexes, name, index, MAX_CHANGE_INDEXES)

    def changes_after(
        self, index: int
    ) -> tuple[model.FleetCommand, ...] | None:
        """Returns the commands that changed the state after a log index.

        Returns:
            The commands in log order, or None when some of them may have been
            dropped or the index is newer than the state.
        """
        return self.recent.after(index) if index <= self.state.index else None

    def _find_refusal(
        self, command: model.FleetCommand
    ) -> model.FleetVerdict | None:
        """Returns the verdict that rejects a command, or None if it is valid.

        The version of the verdict is not set.
        """
        match command:
            case model.ChangeRouting(change):
                return self._find_routing_refusal(change)
            case model.SetEvacuation(domain, base_index=base_index):
                changed_index = self.evacuation_indexes.get(domain, 0)
                return _refuse_if_outdated(base_index, changed_index)
            case model.RecordNode(node, base_index):
                changed_index = self.node_indexes.get(node.name, 0)
                return _refuse_if_outdated(base_index, changed_index)
        return None

    def _find_routing_refusal(
        self, change: model.RoutingChange
    ) -> model.FleetVerdict | None:
        current = self.state.routing
        if change.content_hash in self.accepted:
            return None
        if change.base_version != current.version:
            return model.FleetVerdict(
                accepted=False,
                conflict=True,
                message=f"the change is based on version {change.base_version},"
                f" but the current version is {current.version}",
            )
        if change.version <= current.version:
            error = (
                f"version {change.version} is not above the current version"
                f" {current.version}"
            )
        else:
            error = _validation.validate_table(
                model.apply_routing_change(current, change)
            )
        return (
            model.FleetVerdict(accepted=False, message=error) if error else None
        )

    def _is_effective(self, command: model.FleetCommand) -> bool:
        """Returns whether a valid command changes the state.

        The content hash of a new routing change is added to `accepted`.
        """
        match command:
            case model.ChangeRouting(change):
                if change.content_hash in self.accepted:
                    return False
                _set_newest(
                    self.accepted,
                    change.content_hash,
                    change.version,
                    MAX_ACCEPTED_CHANGES,
                )
                return True
            case model.RecordUpstream(record):
                return self._is_newer_record(record)
            case model.RemoveUpstream(name, incarnation):
                existing = self.upstream(name)
                return existing is not None and incarnation in (
                    None,
                    existing.incarnation,
                )
            case model.RemoveNode(name, node_incarnation):
                return any(
                    node.name == name and node.incarnation == node_incarnation
                    for node in self.state.nodes
                )
            case model.SetEvacuation(domain, evacuated):
                return (domain in self.state.evacuated) != evacuated
            case model.RecordNode(node):
                return node not in self.state.nodes
        return False

    def _is_newer_record(self, record: model.UpstreamRecord) -> bool:
        """Returns whether a record is newer than the last one of its upstream.

        An address belongs to the incarnation that started last.
        """
        if self.departed.get(record.upstream, -1) >= record.incarnation:
            return False
        last_record = self._last_record(record.upstream)
        if last_record is not None and not last_record.may_precede(record):
            return False
        return not any(
            other.address == record.address
            and other.upstream != record.upstream
            and other.incarnation > record.incarnation
            for other in self.state.upstreams
        )

    def _record_removal(self, command: model.RemoveUpstream) -> None:
        """Records that an incarnation has left or expired."""
        name, incarnation = command.upstream, command.incarnation
        last_record = self._last_record(name)
        if incarnation is None and last_record is not None:
            incarnation = last_record.incarnation
        if incarnation is None:
            return
        if command.final:
            newest = max(incarnation, self.departed.get(name, incarnation))
            _set_newest(self.departed, name, newest, MAX_DEPARTED_UPSTREAMS)
            if last_record is not None and last_record.incarnation <= newest:
                self.expired.pop(name, None)
        elif last_record is not None and last_record.incarnation == incarnation:
            _set_newest(self.expired, name, last_record, MAX_EXPIRED_UPSTREAMS)

    def _last_record(self, name: str) -> LastRecord | None:
        record = self.upstream(name)
        if record is not None:
            return LastRecord.of(record)
        return self.expired.get(name)

    def last_incarnation(self, name: str) -> int | None:
        """Returns the incarnation of an upstream, also if it has expired."""
        last_record = self._last_record(name)
        return last_record.incarnation if last_record else None

    def upstream(self, name: str) -> model.UpstreamRecord | None:
        """Returns the record of an upstream, or None without one."""
        return next(self._find_records(name), None)

    def _find_records(self, name: str) -> Iterator[model.UpstreamRecord]:
        return (
            record for record in self.state.upstreams if record.upstream == name
        )

    def snapshot(self) -> bytes:
        """Returns the encoded `FleetSnapshot`."""
        return self.codec.encode(
            FleetSnapshot(
                self.state,
                dict(self.accepted),
                dict(self.departed),
                dict(self.node_indexes),
                dict(self.evacuation_indexes),
                dict(self.expired),
            )
        )

    def restore(self, state: bytes) -> None:
        """Replaces the state with an encoded `FleetSnapshot`."""
        stored = self.codec.decode(state)
        assert isinstance(stored, FleetSnapshot)
        self.state = stored.state
        self.accepted = collections.OrderedDict(stored.accepted)
        self.departed = collections.OrderedDict(stored.departed)
        self.node_indexes = collections.OrderedDict(stored.node_indexes)
        self.evacuation_indexes = collections.OrderedDict(
            stored.evacuation_indexes
        )
        self.expired = collections.OrderedDict(stored.expired)
        self.recent = _recent.RecentCommands(stored.state.index)


def _set_newest(
    values: collections.OrderedDict[str, T],
    key: str,
    value: T,
    max_items: int,
) -> None:
    """Sets a value as the newest item and drops the oldest beyond a limit."""
    values[key] = value
    values.move_to_end(key)
    while len(values) > max_items:
        values.popitem(last=False)


def _refuse_if_outdated(
    base_index: int | None, changed_index: int
) -> model.FleetVerdict | None:
    """Returns a conflict if there was a change after the base index."""
    if base_index is None or changed_index <= base_index:
        return None
    return model.FleetVerdict(
        accepted=False,
        conflict=True,
        message=f"the command is based on log index {base_index}, but a newer"
        f" one was applied at index {changed_index}",
    )
