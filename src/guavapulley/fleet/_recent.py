"""The newest commands, from which watchers are brought up to date."""

import collections

import attrs

from guavapulley import model

# Limits of the commands that are kept; a watcher that is further behind gets
# the whole state. A decoded command occupies several times its encoded size.
MAX_COMMANDS = 1_000
MAX_BYTES = 1_048_576


@attrs.frozen
class _RecentCommand:
    """A command that is kept.

    Attributes:
        index: Log index.
        size_bytes: Encoded size.
        command: The command.
    """

    index: int
    size_bytes: int
    command: model.FleetCommand


@attrs.define
class RecentCommands:
    """The newest commands that changed the state, oldest first.

    Attributes:
        last_dropped_index: Log index up to which commands may be missing.
        size_bytes: Encoded size of the commands.
        commands: The commands.
    """

    last_dropped_index: int = 0
    size_bytes: int = 0
    commands: collections.deque[_RecentCommand] = attrs.field(
        factory=collections.deque
    )

    def append(
        self, index: int, size_bytes: int, command: model.FleetCommand
    ) -> None:
        """Appends a command and drops the oldest ones beyond the limits.

        Args:
            index: Log index of the command.
            size_bytes: Encoded size of the command.
            command: The command.
        """
        self.commands.append(_RecentCommand(index, size_bytes, command))
        self.size_bytes += size_bytes
        while len(self.commands) > MAX_COMMANDS or self.size_bytes > MAX_BYTES:
            dropped = self.commands.popleft()
            self.size_bytes -= dropped.size_bytes
            self.last_dropped_index = dropped.index

    def after(self, index: int) -> tuple[model.FleetCommand, ...] | None:
        """Returns the commands after a log index, in log order.

        Returns:
            The commands, or None when some of them may have been dropped.
        """
        if index < self.last_dropped_index:
            return None
        return tuple(
            recent.command for recent in self.commands if recent.index > index
        )
