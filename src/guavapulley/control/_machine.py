"""State machine over the replicated log."""

import collections
from collections.abc import Callable
import hashlib

from guavapulley import model
from guavapulley import ports
from guavapulley.control import _commands
from guavapulley.control import _errors
from guavapulley.control import _keys

# A resend of a change after more verdicts than these conflicts, because its
# base revision is no longer the current one; it is never applied twice.
MAX_VERDICTS = 10_000
MAX_HISTORY = 1_000
CONTENT_HASH_BYTES = 16

Validator = Callable[[model.Configuration], str]


def accept_all(configuration: model.Configuration) -> str:
    """Finds no fault in any configuration."""
    return ""


class SteeringStateMachine:
    """Configuration, verdicts and idempotency records (`ports.StateMachine`).

    Its decisions depend on nothing but the log, so all replicas agree.

    Args:
        codec: Codec that knows `CODEC_TYPES`.
        validate: Returns what is wrong with a configuration, or an empty text.

    Attributes:
        configuration: Current configuration.
        history: Newest accepted changes, oldest first.
        keys: Idempotency records.
        log_time_s: Greatest Unix time that a command carried.
        on_configuration: Called with each new configuration; it must not
            change the state.
    """

    def __init__(
        self, codec: ports.Codec, validate: Validator = accept_all
    ) -> None:
        self.codec = codec
        self.validate = validate
        self.configuration = model.Configuration()
        self.history: list[ports.AcceptedChange] = []
        self.verdicts: collections.OrderedDict[str, _commands.StoredVerdict] = (
            collections.OrderedDict()
        )
        self.keys = _keys.KeyTable(codec)
        self.log_time_s = 0.0
        self.on_configuration: Callable[[model.Configuration], None] = (
            lambda configuration: None
        )

    def apply(self, index: int, payload: bytes) -> object:
        """Applies a committed command and returns its result."""
        command = self.codec.decode(payload)
        match command:
            case _commands.ApplyChange():
                self._advance(command.proposed_at_s)
                return self._change(index, command.change)
            case _commands.ApplyClaim():
                self._advance(command.proposed_at_s)
                return self.keys.claim(index, command.claim, self.log_time_s)
            case _commands.ApplyOutcome():
                return self.keys.record(command.record)
            case _commands.ApplyRelease():
                return self.keys.release(command.release)
        raise _errors.ControlError(
            _errors.COMMAND_UNKNOWN, f"no command: {type(command).__name__}"
        )

    def _advance(self, proposed_at_s: float) -> None:
        # Leaders have different clocks; log time must not go back.
        self.log_time_s = max(self.log_time_s, proposed_at_s)

    def _change(self, index: int, change: model.Change) -> model.Verdict:
        content = self._content(change)
        stored = self.verdicts.get(change.request_id)
        if stored is None:
            verdict = self._decide(index, change)
            self.verdicts[change.request_id] = _commands.StoredVerdict(
                change.request_id, verdict, content
            )
            if len(self.verdicts) > MAX_VERDICTS:
                self.verdicts.popitem(last=False)
            return verdict
        if stored.content != content:
            # The first verdict would tell that this change is in force.
            return model.Verdict(
                model.VerdictKind.INVALID,
                self.configuration.revision,
                f"request ID {change.request_id} belongs to another change",
            )
        return stored.verdict

    def _content(self, change: model.Change) -> bytes:
        bare = model.Change("", 0, "", change.puts, change.deletes)
        return hashlib.blake2b(
            self.codec.encode(bare), digest_size=CONTENT_HASH_BYTES
        ).digest()

    def _decide(self, index: int, change: model.Change) -> model.Verdict:
        current = self.configuration.revision
        if change.base_revision != current:
            return model.Verdict(
                model.VerdictKind.CONFLICT,
                current,
                f"based on revision {change.base_revision},"
                f" the current one is {current}",
            )
        wanted = self.configuration.replaced(index, change.puts, change.deletes)
        fault = self.validate(wanted)
        if fault:
            return model.Verdict(model.VerdictKind.INVALID, current, fault)
        self.configuration = wanted
        self.on_configuration(wanted)
        self.history.append(
            ports.AcceptedChange(index, change, self.log_time_s)
        )
        del self.history[:-MAX_HISTORY]
        return model.Verdict(model.VerdictKind.ACCEPTED, index)

    def snapshot(self) -> bytes:
        """Returns the whole state."""
        return self.codec.encode(
            _commands.ControlState(
                self.configuration,
                tuple(self.history),
                tuple(self.verdicts.values()),
                tuple(self.keys.records),
                tuple(at_s for at_s, _ in self.keys.records.values()),
                tuple(data for _, data in self.keys.records.values()),
                self.log_time_s,
            )
        )

    def restore(self, state: bytes) -> None:
        """Replaces the state by a snapshot."""
        stored = self.codec.decode(state)
        assert isinstance(stored, _commands.ControlState)
        self.configuration = stored.configuration
        self.history = list(stored.history)
        self.verdicts = collections.OrderedDict(
            (item.request_id, item) for item in stored.verdicts
        )
        self.keys = _keys.KeyTable(self.codec)
        records = zip(stored.claimed_at_s, stored.outcomes, strict=True)
        self.keys.records.update(zip(stored.keys, records, strict=True))
        self.log_time_s = stored.log_time_s
        self.on_configuration(self.configuration)
