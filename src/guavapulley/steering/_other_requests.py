"""Requests that other entries have in flight, as they publish them."""

import collections
from collections.abc import Iterable

from guavapulley.steering import _catalog
from guavapulley.steering import _windows


class OtherRequests:
    """Peaks of the requests of other entries at the upstreams of a service.

    Args:
        window_s: Time in seconds over which a peak counts.

    Attributes:
        by_upstream: Peaks by upstream.
        by_region: Peaks by region.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.by_upstream: dict[str, _windows.PeakWindow] = {}
        self.by_region: dict[str, _windows.PeakWindow] = {}

    def record(
        self,
        counts: Iterable[tuple[_catalog.LabelledUpstream, float]],
        now_s: float,
    ) -> None:
        """Records the number of requests at each upstream.

        Args:
            counts: Upstreams with the number of requests there.
            now_s: Current time on trio's clock.
        """
        sums: collections.defaultdict[str, float] = collections.defaultdict(
            float
        )
        for upstream, count in counts:
            sums[upstream.region] += count
            self._window(self.by_upstream, upstream.name).add(now_s, count)
        for region, count in sums.items():
            self._window(self.by_region, region).add(now_s, count)

    def _window(
        self, table: dict[str, _windows.PeakWindow], key: str
    ) -> _windows.PeakWindow:
        if key not in table:
            table[key] = _windows.PeakWindow(self.window_s)
        return table[key]

    def peak_at(self, upstream: str, now_s: float) -> float:
        """Returns the peak number of requests at an upstream."""
        window = self.by_upstream.get(upstream)
        return window.value(now_s) if window else 0

    def latest_at(self, upstream: str) -> float:
        """Returns the latest number of requests at an upstream."""
        window = self.by_upstream.get(upstream)
        return window.samples[-1][1] if window else 0

    def peak_in_region(self, region: str, now_s: float) -> float:
        """Returns the peak number of requests in a region."""
        window = self.by_region.get(region)
        return window.value(now_s) if window else 0

    def latest_in_region(self, region: str) -> float:
        """Returns the latest number of requests in a region."""
        window = self.by_region.get(region)
        return window.samples[-1][1] if window else 0
