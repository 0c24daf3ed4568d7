"""Attempts side by side, of which the first answer counts."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

import attrs
import trio

T = TypeVar("T")


@attrs.frozen
class Ended(Generic[T]):
    """End of an attempt.

    Attributes:
        values: The answer as the only item, or nothing after an error.
        error: The error, if any.
    """

    values: tuple[T, ...] = ()
    error: Exception | None = None


async def first_answer(
    first: Callable[[], Awaitable[T]],
    next_hedge: Callable[[], Callable[[], Awaitable[T]] | None],
    delay_s: float,
) -> T:
    """Runs an attempt, and a second one when it is slow.

    Args:
        first: The first attempt.
        next_hedge: Returns the second attempt, or None when there may be none
            now; asked again after each delay.
        delay_s: Time after which the first attempt is slow.

    Returns:
        The first answer; the other attempt is cancelled.

    Raises:
        Exception: The error of the first attempt when none gave an answer.
    """
    send, receive = trio.open_memory_channel[Ended[T]](2)

    async def report(attempt: Callable[[], Awaitable[T]]) -> None:
        try:
            ended = Ended((await attempt(),))
        except Exception as error:
            ended = Ended(error=error)
        send.send_nowait(ended)

    ended: Ended[T] | None = None
    running = 1
    async with trio.open_nursery() as nursery:
        nursery.start_soon(report, first)
        while ended is None and running == 1:
            with trio.move_on_after(delay_s):
                ended = await receive.receive()
            hedge = next_hedge() if ended is None else None
            if hedge is not None:
                nursery.start_soon(report, hedge)
                running = 2
        if ended is None:
            ended = await receive.receive()
        if ended.error is not None and running == 2:
            other = await receive.receive()
            ended = other if other.error is None else ended
        nursery.cancel_scope.cancel()
    if ended.error is not None:
        raise ended.error
    return ended.values[0]
