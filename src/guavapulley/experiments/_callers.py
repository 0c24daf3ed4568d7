"""Models of callers: arrivals, timeouts and retries."""

from collections.abc import Iterator
import math
import random

import attrs
import trio

from guavapulley import forwarding
from guavapulley import model
from guavapulley.experiments import _ledger
from guavapulley.experiments import _patterns
from guavapulley.experiments import _upstreams

# Largest fraction of the remaining time that a caller waits before a retry; it
# limits the Retry-After of an answer.
MAX_RETRY_WAIT_FRACTION = 1 / 3
# A failed request is retried at once unless the answer has a Retry-After.
MAX_RETRIES = 1
# Period of the sine wave that the request rate follows.
RATE_PERIOD_S = 36.0
UNAVAILABLE_STATUS, NO_ANSWER_STATUS = 503, 0


@attrs.define(eq=False)
class ModelEntry:
    """An entry that the callers of one failure domain use.

    Attributes:
        domain: Failure domain.
        forwarder: Forwards its requests; None while the entry is down.
    """

    domain: str
    forwarder: forwarding.Forwarder | None


@attrs.define(eq=False)
class Callers:
    """All callers of one failure domain.

    Attributes:
        domain: Failure domain.
        pattern: Load pattern.
        entries: Entries that they send requests to.
        ledger: Records their outcomes.
        rng: Generator of their random numbers.
        phase: Initial phase of the request rate, as a fraction of its period.
        request_ids: Yields the IDs of requests.
    """

    domain: str
    pattern: _patterns.LoadPattern
    entries: list[ModelEntry]
    ledger: _ledger.Ledger
    rng: random.Random
    phase: float
    request_ids: Iterator[int]

    async def run(self, nursery: trio.Nursery, duration_s: float) -> None:
        """Sends requests at random intervals for `duration_s` seconds."""
        kinds = self.pattern.kinds
        domain_factor = self.pattern.load_factor / len(self.pattern.regions)
        mean_rate_per_s = (
            sum(kind.rate_per_s for kind in kinds.values()) * domain_factor
        )
        end_s = trio.current_time() + duration_s
        while trio.current_time() < end_s:
            cycles = trio.current_time() / RATE_PERIOD_S + self.phase
            rate_factor = 1 + self.pattern.swing_fraction * math.sin(
                2 * math.pi * cycles
            )
            await trio.sleep(
                self.rng.expovariate(mean_rate_per_s * rate_factor)
            )
            name = self.rng.choices(
                list(kinds), [kind.rate_per_s for kind in kinds.values()]
            )[0]
            nursery.start_soon(self._send_until_answered, name, kinds[name])

    async def _send_until_answered(
        self, name: str, kind: _patterns.RequestKind
    ) -> None:
        started_at_s = trio.current_time()
        region = self.pattern.regions[self.domain]
        key = f"{region}-{self.rng.randrange(kind.objects_per_region)}"
        work_factor = _upstreams.draw_work_factor(self.rng)
        status = 0
        with trio.move_on_after(kind.caller_timeout_s):
            for attempt in range(1 + MAX_RETRIES):
                remaining_s = (
                    started_at_s + kind.caller_timeout_s - trio.current_time()
                )
                status, wait_s = await self._attempt(
                    name, kind, key, work_factor, remaining_s
                )
                if status < 500 and status != NO_ANSWER_STATUS:
                    break
                if kind.once and status not in (
                    UNAVAILABLE_STATUS,
                    NO_ANSWER_STATUS,
                ):
                    break
                if attempt < MAX_RETRIES:
                    await trio.sleep(
                        min(wait_s, remaining_s * MAX_RETRY_WAIT_FRACTION)
                    )
        duration_s = trio.current_time() - started_at_s
        earned_value = 0.0
        if status == 200:
            in_time = duration_s <= kind.target_s
            earned_value = kind.value if in_time else kind.late_value
        self.ledger.outcomes.append(
            _ledger.Outcome(
                name,
                self.domain,
                started_at_s,
                duration_s,
                status,
                kind.value,
                earned_value,
            )
        )

    async def _attempt(
        self,
        name: str,
        kind: _patterns.RequestKind,
        key: str,
        work_factor: float,
        remaining_s: float,
    ) -> tuple[int, float]:
        """Sends a request to an entry once.

        Returns:
            The status and the time to wait before a retry, in seconds.
        """
        entry = self.rng.choice(self.entries)
        if entry.forwarder is None:
            return NO_ANSWER_STATUS, 0.0
        sent_at_s = trio.current_time()
        answer = await entry.forwarder.answer(
            model.HttpRequest(
                "GET",
                f"/{name}/",
                "",
                (
                    ("host", "model"),
                    ("id", str(next(self.request_ids))),
                    ("caller-timeout", str(remaining_s)),
                    ("key", key),
                    ("work", str(work_factor)),
                    ("sent-at", str(sent_at_s)),
                ),
            )
        )
        status = answer.head.status
        wait_s = float(dict(answer.head.headers).get("Retry-After", 0))
        if status == UNAVAILABLE_STATUS:
            duration_s = trio.current_time() - sent_at_s
            self.ledger.refusals.append(
                _ledger.Refusal(duration_s, kind.target_s)
            )
        return status, wait_s
