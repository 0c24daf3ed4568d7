"""Exponential decay of estimates."""

import math


def decay(
    value: float, baseline: float, age_s: float, half_life_s: float
) -> float:
    """Returns a value after exponential decay towards a baseline.

    >>> decay(8.0, 0.0, 2.0, 1.0)
    2.0

    Args:
        value: The value at age zero.
        baseline: Value that it approaches.
        age_s: Age of the value in seconds.
        half_life_s: Time in which the distance to the baseline halves, in
            seconds.
    """
    return baseline + (value - baseline) * math.pow(0.5, age_s / half_life_s)
