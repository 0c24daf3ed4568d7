"""Lamport clock carried on peer messages."""


class LamportClock:
    """Logical clock that orders events causally (Lamport, 1978).

    >>> clock = LamportClock()
    >>> clock.observe(41)
    >>> clock.tick()
    42
    """

    def __init__(self) -> None:
        self.value = 0

    def tick(self) -> int:
        """Increments the counter for a local event or a sent message.

        Returns:
            The new value of the counter.
        """
        self.value += 1
        return self.value

    def observe(self, received_value: int) -> None:
        """Advances the counter to a received one if that is greater."""
        self.value = max(self.value, received_value)
