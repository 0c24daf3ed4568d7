"""Notification of tasks that wait for a change of state."""

from collections.abc import Callable

import trio


class Signal:
    """Wakes all waiting tasks at each notification.

    A notification without waiting tasks is lost, so that tasks check their
    condition before they wait.
    """

    def __init__(self) -> None:
        self.event = trio.Event()

    def notify(self) -> None:
        """Wakes all tasks that are waiting."""
        self.event.set()
        self.event = trio.Event()

    async def wait(self) -> None:
        """Waits for the next notification."""
        await self.event.wait()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition holds.

        The condition is checked before waiting and after each notification.
        """
        while not condition():
            await self.event.wait()
