"""Simple policies to compare with: round robin and least in flight."""

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


class Picker(Protocol):
    """Picks an upstream for a request."""

    def pick(
        self,
        records: Sequence[model.UpstreamRecord],
        counts: Mapping[str, int],
    ) -> model.UpstreamRecord:
        """Returns the upstream for the next request.

        Args:
            records: Usable upstreams of the nearest region that has any.
            counts: Own requests in flight by upstream.
        """


class Baseline:
    """Sends each request at once to an upstream of the nearest region.

    A request whose connection is refused is repeated once.
    """

    def __init__(
        self, view: ports.SteeringView, region: str, picker: Picker
    ) -> None:
        self.view = view
        self.region = region
        self.picker = picker
        self.counts: collections.Counter[str] = collections.Counter()

    def in_flight(self) -> Mapping[str, int]:
        """Returns the own requests by upstream."""
        return dict(self.counts)

    def claims(self) -> Mapping[str, int]:
        """Returns nothing; baselines divide no slots."""
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
            o.upstreams.removeprefix("upstream=")
            for o in self.view.configuration().objects
            if isinstance(o, model.Drain)
        }
        usable = [
            k.record
            for k in self.view.upstreams(service.name)
            if k.freshness is not ports.Freshness.EXPIRED
            and k.record.upstream not in drained
        ]
        near = [r for r in usable if r.region == self.region]
        record = self.picker.pick(near or usable, self.counts)
        self.counts[record.upstream] += 1
        try:
            return await attempt(record)
        finally:
            self.counts[record.upstream] -= 1


class RoundRobin:
    """Takes the upstreams in turn."""

    def __init__(self, draw: random.Random) -> None:
        # Entries start at different places, or all would go in step.
        self.turn = draw.randrange(1_000)

    def pick(
        self,
        records: Sequence[model.UpstreamRecord],
        counts: Mapping[str, int],
    ) -> model.UpstreamRecord:
        """Returns the next upstream."""
        self.turn += 1
        return records[self.turn % len(records)]


class LeastInFlight:
    """Takes the upstream with the fewest own requests in flight."""

    def __init__(self, draw: random.Random) -> None:
        self.draw = draw

    def pick(
        self,
        records: Sequence[model.UpstreamRecord],
        counts: Mapping[str, int],
    ) -> model.UpstreamRecord:
        """Returns the upstream with the fewest own requests."""
        return min(
            records,
            key=lambda r: (counts.get(r.upstream, 0), self.draw.random()),
        )
