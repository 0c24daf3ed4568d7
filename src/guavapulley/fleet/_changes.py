"""Encoding of the changes that entries have not received yet."""

from guavapulley import model
from guavapulley import ports
from guavapulley.fleet import _machine

# Limit on the size of the encodings that are kept. Entries that are behind by
# different commands have different ones.
MAX_ENCODED_BYTES = 4 * 1_048_576


class ChangesEncoder:
    """Encodes changes once for all entries that have the same state.

    Hundreds of entries ask for the same large change at the same time. Encoded
    for each of them, it would occupy a replica for longer than they wait.

    Args:
        machine: Holds the state and the recent commands.
        codec: Codec of the messages.

    Attributes:
        index: Log index of the state that `encoded` leads to.
        encoded: Encoded `FleetChanges` by the log index of the requester,
            oldest first.
        size_bytes: Size of `encoded`.
    """

    def __init__(
        self, machine: _machine.FleetStateMachine, codec: ports.Codec
    ) -> None:
        self.machine = machine
        self.codec = codec
        self.index = 0
        self.encoded: dict[int, bytes] = {}
        self.size_bytes = 0

    def encode_after(self, index: int) -> bytes:
        """Returns the encoded changes after a log index; empty if none."""
        if index >= self.machine.state.index:
            return b""
        if self.index != self.machine.state.index:
            self.index = self.machine.state.index
            self.encoded.clear()
            self.size_bytes = 0
        changes = self.machine.changes_after(index) if index else None
        # All entries that need the complete state share its encoding.
        key = index if changes is not None else 0
        if key not in self.encoded:
            self._keep(key, self.codec.encode(self._content(changes)))
        return self.encoded[key]

    def _keep(self, key: int, data: bytes) -> None:
        """Keeps an encoding and drops the oldest others beyond the limit."""
        self.size_bytes += len(data)
        while self.encoded and self.size_bytes > MAX_ENCODED_BYTES:
            oldest = next(iter(self.encoded))
            self.size_bytes -= len(self.encoded.pop(oldest))
        self.encoded[key] = data

    def _content(
        self, changes: tuple[model.FleetCommand, ...] | None
    ) -> model.FleetChanges:
        if changes is None:
            return model.FleetChanges(self.machine.state, ())
        return model.FleetChanges(None, changes)
