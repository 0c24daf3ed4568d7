"""Replicated state machine of the configuration and of idempotency keys."""

import collections
from collections.abc import Callable
import hashlib

from guavapulley import model
from guavapulley import ports
from guavapulley.control import _commands
from guavapulley.control import _errors
from guavapulley.control import _history
from guavapulley.control import _keys

# An accepted change that is resent after more verdicts than this conflicts,
# because its base revision is no longer the current one. It is never applied
# twice.
MAX_VERDICTS = 10_000
CONTENT_HASH_BYTES = 16

Validator = Callable[[model.Configuration], str]


def accept_all(configuration: model.Configuration) -> str:
    """Accepts every configuration as valid."""
    return ""


class ControlStateMachine:
    """Configuration, verdicts and idempotency keys (`ports.StateMachine`).

    The state depends only on the log, so all replicas agree.

    Args:
        codec: Codec that supports `CODEC_TYPES`.
        validate: Returns the first error of a configuration, or an empty
            string.

    Attributes:
        configuration: Current configuration.
        history: Newest accepted changes, oldest first.
        verdicts: Newest verdicts by request ID, oldest first.
        keys: Records of idempotency keys.
        log_time_s: Greatest Unix time of any command so far, in seconds.
        on_configuration: Called with each new configuration; it must not
            change the state.
    """

    def __init__(
        self, codec: ports.Codec, validate: Validator = accept_all
    ) -> None:
        self.codec = codec
        self.validate = validate
        self.configuration = model.Configuration()
        self.history = _history.ChangeHistory(codec)
        self.verdicts: collections.OrderedDict[str, _commands.StoredVerdict] = (
            collections.OrderedDict()
        )
        self.keys = _keys.KeyTable(codec)
        self.log_time_s = 0.0
        self.on_configuration: Callable[[model.Configuration], None] = (
            lambda configuration: None
        )

    def apply(self, index: int, payload: bytes) -> object:
        """Applies a committed command.

        Args:
            index: Log index of the command.
            payload: Encoded command.

        Returns:
            A `Verdict`, `ClaimReply` or `RecordReply`, depending on the
            command.

        Raises:
            ControlError: The payload is no command of this state machine.
        """
        command = self.codec.decode(payload)
        match command:
            case _commands.ApplyChange():
                self._advance_log_time(command.proposed_at_s)
                return self._apply_change(index, command.change)
            case _commands.ApplyClaim():
                self._advance_log_time(command.proposed_at_s)
                return self.keys.claim(index, command.claim, self.log_time_s)
            case _commands.ApplyOutcome():
                return self.keys.record(command.record)
            case _commands.ApplyRelease():
                return self.keys.release(command.release)
        raise _errors.ControlError(
            _errors.COMMAND_UNKNOWN,
            f"not a control command: {type(command).__name__}",
        )

    def _advance_log_time(self, proposed_at_s: float) -> None:
        # The clocks of leaders differ, and log time must not decrease.
        self.log_time_s = max(self.log_time_s, proposed_at_s)

    def _apply_change(self, index: int, change: model.Change) -> model.Verdict:
        content = self._content_hash(change)
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
            # The stored verdict would wrongly say that this change is in force.
            return model.Verdict(
                model.VerdictKind.INVALID,
                self.configuration.revision,
                f"request ID {change.request_id} belongs to another change",
            )
        return stored.verdict

    def _content_hash(self, change: model.Change) -> bytes:
        content_only = model.Change("", 0, "", change.puts, change.deletes)
        return hashlib.blake2b(
            self.codec.encode(content_only), digest_size=CONTENT_HASH_BYTES
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
        proposed = self.configuration.with_changes(
            index, change.puts, change.deletes
        )
        error = self.validate(proposed)
        if error:
            return model.Verdict(model.VerdictKind.INVALID, current, error)
        self.configuration = proposed
        self.on_configuration(proposed)
        self.history.append(
            ports.AcceptedChange(index, change, self.log_time_s)
        )
        return model.Verdict(model.VerdictKind.ACCEPTED, index)

    def snapshot(self) -> bytes:
        """Returns the encoded `ControlState`."""
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
        """Replaces the state with an encoded `ControlState`."""
        stored = self.codec.decode(state)
        assert isinstance(stored, _commands.ControlState)
        self.configuration = stored.configuration
        self.history = _history.ChangeHistory(self.codec, stored.history)
        self.verdicts = collections.OrderedDict(
            (item.request_id, item) for item in stored.verdicts
        )
        self.keys = _keys.KeyTable(self.codec)
        records = zip(stored.claimed_at_s, stored.outcomes, strict=True)
        self.keys.records.update(zip(stored.keys, records, strict=True))
        self.log_time_s = stored.log_time_s
        self.on_configuration(self.configuration)
