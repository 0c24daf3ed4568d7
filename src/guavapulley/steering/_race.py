"""Concurrent attempts of which the first answer is used."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

import attrs
import trio

T = TypeVar("T")


@attrs.frozen
class AttemptResult(Generic[T]):
    """Result of an attempt.

    Attributes:
        values: Tuple of the answer, or an empty one after an error.
        error: Error that ended the attempt, if any.
    """

    values: tuple[T, ...] = ()
    error: Exception | None = None


async def first_answer(
    first: Callable[[], Awaitable[T]],
    next_hedge: Callable[[], Callable[[], Awaitable[T]] | None],
    delay_s: float,
) -> T:
    """Runs an attempt, and hedges it with a second one if it is slow.

    Args:
        first: Runs the first attempt.
        next_hedge: Returns a function that runs the second attempt, or None if
            none is allowed now. It is called again after each delay.
        delay_s: Time to wait for the first attempt before a hedge.

    Returns:
        The first answer; the other attempt is cancelled.

    Raises:
        Exception: Both attempts, or the only one, failed. This is the error of
            the attempt that failed first.
    """
    send, receive = trio.open_memory_channel[AttemptResult[T]](2)

    async def send_result(attempt: Callable[[], Awaitable[T]]) -> None:
        try:
            result = AttemptResult((await attempt(),))
        except Exception as error:
            result = AttemptResult(error=error)
        send.send_nowait(result)

    result: AttemptResult[T] | None = None
    running = 1
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_result, first)
        while result is None and running == 1:
            with trio.move_on_after(delay_s):
                result = await receive.receive()
            hedge = next_hedge() if result is None else None
            if hedge is not None:
                nursery.start_soon(send_result, hedge)
                running = 2
        if result is None:
            result = await receive.receive()
        if result.error is not None and running == 2:
            other_result = await receive.receive()
            result = other_result if other_result.error is None else result
        nursery.cancel_scope.cancel()
    if result.error is not None:
        raise result.error
    return result.values[0]
