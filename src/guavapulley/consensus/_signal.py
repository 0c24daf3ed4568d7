"""Broadcast of a change to all tasks that wait for it."""

from collections.abc import Callable

import trio


class Signal:
    """Wakes every waiting task at each notification."""

    def __init__(self) -> None:
        self.event = trio.Event()

    def notify(self) -> None:
        """Wakes all tasks that wait now."""
        self.event.set()
        self.event = trio.Event()

    async def wait(self) -> None:
        """Waits for the next notification."""
        await self.event.wait()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition holds; it is checked at notifications."""
        while not condition():
            await self.event.wait()
