"""A request on its way through an entry."""

import math

import attrs
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley import routing


@attrs.define(eq=False)
class Journey:
    """A request on its way, with what was known at each step.

    Attributes:
        request: The caller's request.
        facts: What it says of its caller.
        route: Its route.
        service: Service chosen for it.
        arrived_s: When it arrived.
        give_up_s: When it gets its final answer at the latest.
        tried: Upstreams to which it was sent or which were not reached.
        sends: Sends that may have reached an upstream.
        connects: Connects that failed.
        may_have_run: Whether an upstream may have run it.
        waited_s: Time that it waited at this entry for room, in seconds.
        candidates: Upstreams that could have got it at the last choice.
        history: What was known at each send, and what came of it.
        code: Error code of an answer of the entry's own; empty for others.
        reason: Why the entry gave it.
        retry_after_s: After how long its caller may return, in seconds.
        exclusions: Upstreams that were out of the question then, by reason.
    """

    request: model.HttpRequest
    facts: ports.CallerFacts
    route: model.Route
    service: str
    arrived_s: float
    give_up_s: float
    tried: set[str] = attrs.field(factory=set)
    sends: int = 0
    connects: int = 0
    may_have_run: bool = False
    waited_s: float = 0.0
    candidates: int = 0
    history: list[dict[str, object]] = attrs.field(factory=list)
    code: str = ""
    reason: str = ""
    retry_after_s: float | None = None
    exclusions: dict[str, int] = attrs.field(factory=dict)

    def is_idempotent(self) -> bool:
        """Returns whether it may be sent again after it may have run."""
        return self.route.repeatability is model.Repeatability.IDEMPOTENT

    def affinity_key(self) -> str | None:
        """Returns the object that decides on its upstream, if any."""
        return self.facts.affinity_key if self.route.affinity else None

    def ending(self) -> dict[str, object]:
        """Returns what the log says of an answer of the entry's own."""
        if not self.code:
            return {}
        found: dict[str, object] = {"code": self.code, "reason": self.reason}
        if self.retry_after_s is not None:
            found["retry_after_s"] = round(self.retry_after_s, 3)
        if self.exclusions:
            found["exclusions"] = self.exclusions
        return found

    def note_send(self, track: routing.UpstreamTracker) -> dict[str, object]:
        """Notes what decides on a send; what comes of it is added later."""
        sent: dict[str, object] = {
            "upstream": track.record.upstream,
            "incarnation": track.record.incarnation,
            "at_s": round(trio.current_time() - self.arrived_s, 3),
            "load": round(track.load(), 2),
            "load_age_s": _rounded(trio.current_time() - track.sampled_s),
            "speed": round(track.duration_factor(), 2),
            "failures": round(track.current_failure_fraction(), 2),
            "cold": track.is_cold(),
            "warm": self.facts.affinity_key in track.warm_keys,
        }
        self.history.append(sent)
        return sent

    def exchanged_s(self) -> float:
        """Returns the time that its sends took, in seconds."""
        return sum(float(str(send.get("took_s", 0))) for send in self.history)

    def event(self, status: int | None) -> str:
        """Returns the event of its end; plain successes may be left out.

        Args:
            status: Status of its answer; None if its caller left.
        """
        if status is None:
            return "request:abandoned"
        if status >= 400:
            return "request:failed"
        if self.is_idempotent():
            return ports.ROUTINE_ANSWER
        return "request:answered_once"


def _rounded(age_s: float) -> float | None:
    """Returns an age for the log; None for what never was."""
    return round(age_s, 2) if math.isfinite(age_s) else None
