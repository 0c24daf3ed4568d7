"""Limits that a deployment configures."""

import attrs


@attrs.frozen
class ForwardingSettings:
    """Limits that all entries enforce together.

    Attributes:
        retry_ratio: Retries per request that all entries may send.
        retry_slack: Retries allowed to all entries together in addition.
        retry_window_s: Window in which retries are counted, in seconds.
        cold_factor: Tolerated multiple of the rate stated for cold upstreams.
        cold_slack: Requests per second tolerated in addition.
        max_region_shift: Largest fraction of a region's requests that may move
            to another region within the window of `routing.Spillover`.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 20.0
    retry_window_s: float = 10.0
    cold_factor: float = 1.0
    cold_slack: float = 0.0
    max_region_shift: float = 0.15
