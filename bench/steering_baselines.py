"""Baseline policies for comparisons: round robin and least in flight."""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import random
from typing import Protocol

from guavapulley import model
from guavapulley import ports

Attempt = Callable[[model.UpstreamRecord], Awaitable[tuple[float, float]]]


class UpstreamPicker(Protocol):
    """Picks an upstream for a request."""

    def pick(
        self,
        records: Sequence[model.UpstreamRecord],
        in_flight_counts: Mapping[str, int],
    ) -> model.UpstreamRecord:
        """Returns the upstream for the next request.

        Args:
            records: Usable upstreams of the nearest region that has any.
            in_flight_counts: This entry's requests in flight by upstream.
        """


class BaselinePolicy:
    """Sends each request at once to an upstream of the nearest region.

    A request that did not run at the upstream is retried once.
    """

    def __init__(
        self, view: ports.SteeringView, region: str, picker: UpstreamPicker
    ) -> None:
        self.view = view
        self.region = region
        self.picker = picker
        self.in_flight_counts: collections.Counter[str] = collections.Counter()

    def in_flight(self) -> Mapping[str, int]:
        """Returns this entry's requests in flight by upstream."""
        return dict(self.in_flight_counts)

    def claims(self) -> Mapping[str, int]:
        """Returns no claims; baselines don't allocate slots to entries."""
        return {}

    async def run(
        self,
        request: model.SteeredRequest,
        service: model.Service,
        attempt: Attempt,
    ) -> tuple[float, float]:
        """Runs a request and returns what the attempt returned."""
        try:
            return await self._send(service, attempt)
        except ports.UpstreamError as error:
            if not error.not_run:
                raise
            return await self._send(service, attempt)

    async def _send(
        self, service: model.Service, attempt: Attempt
    ) -> tuple[float, float]:
        drained = {
            drain.upstreams.removeprefix("upstream=")
            for drain in self.view.configuration().objects
            if isinstance(drain, model.Drain)
        }
        usable = [
            observation.record
            for observation in self.view.upstreams(service.name)
            if observation.freshness is not ports.Freshness.EXPIRED
            and observation.record.upstream not in drained
        ]
        local = [record for record in usable if record.region == self.region]
        record = self.picker.pick(local or usable, self.in_flight_counts)
        self.in_flight_counts[record.upstream] += 1
        try:
            return await attempt(record)
        finally:
            self.in_flight_counts[record.upstream] -= 1


class RoundRobin:
    """Picks the upstreams in turn."""

    def __init__(self, rng: random.Random) -> None:
        # Entries start at random positions, or all would send to the same
        # upstream at the same time.
        self.position = rng.randrange(1_000)

    def pick(
        self,
        records: Sequence[model.UpstreamRecord],
        in_flight_counts: Mapping[str, int],
    ) -> model.UpstreamRecord:
        """Returns the next upstream."""
        self.position += 1
        return records[self.position % len(records)]


class LeastInFlight:
    """Picks the upstream with the fewest requests in flight of this entry."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def pick(
        self,
        records: Sequence[model.UpstreamRecord],
        in_flight_counts: Mapping[str, int],
    ) -> model.UpstreamRecord:
        """Returns the upstream with the fewest requests; ties are random."""
        return min(
            records,
            key=lambda record: (
                in_flight_counts.get(record.upstream, 0),
                self.rng.random(),
            ),
        )
