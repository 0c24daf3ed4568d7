"""Guards against times in the wrong unit."""

from guavapulley.adapters import clock


def test_both_functions_return_the_same_time():
    assert abs(clock.unix_time_ms() / 1_000 - clock.unix_time_s()) < 5
