"""The pipeline that chooses an upstream for a request."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import math
import random
from typing import Protocol

import attrs

from guavapulley import model
from guavapulley import ports
from guavapulley import selectors
from guavapulley.steering import _catalog
from guavapulley.steering import _decisions
from guavapulley.steering import _handover
from guavapulley.steering import _hold
from guavapulley.steering import _latency
from guavapulley.steering import _links
from guavapulley.steering import _services

# A load report can make an upstream look at most this much fuller, in
# requests, because reports lag and mislead.
MAX_REPORT_EFFECT = 1.0
# Score of a region other than the nearest; larger than any other part.
REMOTE_SCORE = 1_000.0
FOREIGN_SLOT_SCORE = 0.5
AVOIDED_DOMAIN_SCORE = 100.0
TIE_BREAK = 1e-3


@attrs.define
class Work:
    """A request on its way to an upstream.

    Attributes:
        request: The request.
        state: State of its service.
        intent: Intent that took it, or None for the default.
        arrived_s: Arrival on trio's clock.
        decision: Explanation that is being written.
        tried: Upstreams of earlier attempts.
        avoided_domains: Failure domains of earlier attempts.
        capped_regions: Regions whose link refused the request.
        reached: Attempts that may have reached an upstream.
    """

    request: model.SteeredRequest
    state: _services.ServiceState
    intent: model.Intent | None
    arrived_s: float
    decision: _decisions.Decision
    tried: set[str] = attrs.field(factory=set)
    avoided_domains: set[str] = attrs.field(factory=set)
    capped_regions: set[str] = attrs.field(factory=set)
    reached: int = 0

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have reached an upstream."""
        return self.reached > 0


@attrs.frozen
class Question:
    """One choice at one moment.

    Attributes:
        work: The request.
        now_s: Now on trio's clock.
        region: Region of the entry.
        detached: Whether the entry is detached.
        links: Shares of links, if links are limited.
        near_only: Whether other regions are not considered yet.
        only_outliers: Whether every possible upstream is in probation.
        previous: Routing to use instead of the one in force.
    """

    work: Work
    now_s: float
    region: str
    detached: bool
    links: _links.LinkShares | None
    near_only: bool = False
    only_outliers: bool = False
    previous: _handover.PreviousRouting | None = None

    def intent(self) -> model.Intent | None:
        """Returns the intent that takes the request, if any."""
        if self.previous is None:
            return self.work.intent
        intents = self.previous.configuration.intents()
        return _catalog.chosen_intent(self.work.request, intents)

    def upstreams(self) -> Sequence[_catalog.Labelled]:
        """Returns the upstreams with their labels."""
        if self.previous is None:
            return self.work.state.upstreams
        return self.previous.upstreams


class Rule(Protocol):
    """Decides whether an upstream may get a request."""

    def __call__(
        self, upstream: _catalog.Labelled, question: Question
    ) -> str | None:
        """Returns the reason for an exclusion, or None."""


def not_leaving(upstream: _catalog.Labelled, question: Question) -> str | None:
    """Excludes upstreams that drain or leave."""
    if upstream.drain is not None:
        return f"drain:{upstream.drain}"
    if upstream.known.record.state is model.UpstreamState.LEAVING:
        return "leaving"
    return None


def not_expired(upstream: _catalog.Labelled, question: Question) -> str | None:
    """Excludes upstreams that no longer renew."""
    expired = upstream.known.freshness is ports.Freshness.EXPIRED
    return "expired" if expired else None


def allowed_by_intent(
    upstream: _catalog.Labelled, question: Question
) -> str | None:
    """Excludes upstreams outside the selector of the intent."""
    intent = question.intent()
    if intent is None:
        return None
    selector = selectors.parse(intent.upstreams)
    matches = selector.matches(upstream.labels)
    return None if matches else f"intent:{intent.name}"


def reachable(upstream: _catalog.Labelled, question: Question) -> str | None:
    """Excludes other regions while the entry is detached."""
    if question.detached and upstream.region != question.region:
        return "detached"
    return None


def not_tried(upstream: _catalog.Labelled, question: Question) -> str | None:
    """Excludes upstreams of earlier attempts."""
    return "tried" if upstream.name in question.work.tried else None


def near_enough(upstream: _catalog.Labelled, question: Question) -> str | None:
    """Excludes other regions while the nearest one can be waited for."""
    if question.near_only and upstream.region != question.region:
        return "nearer region"
    return None


def within_link_share(
    upstream: _catalog.Labelled, question: Question
) -> str | None:
    """Excludes regions over whose link nothing more may be sent."""
    region = upstream.region
    if region in question.work.capped_regions:
        return "link share"
    if question.links is None or region == question.region:
        return None
    bulk = question.work.state.service.traffic_class is model.TrafficClass.BULK
    open_now = question.links.is_open(question.region, region, bulk=bulk)
    return None if open_now else "link share"


def within_headroom(
    upstream: _catalog.Labelled, question: Question
) -> str | None:
    """Keeps the headroom of other regions free."""
    if upstream.region == question.region:
        return None
    slots = question.work.state.slots
    free = slots.has_headroom(upstream.region, question.now_s)
    return None if free else "headroom"


def normal_latency(
    upstream: _catalog.Labelled, question: Question
) -> str | None:
    """Excludes outliers, but for one probe at a time."""
    if question.only_outliers:
        return None
    standing = _standing(upstream, question)
    if standing is _latency.Standing.EXCLUDED:
        return "probation"
    busy = question.work.state.slots.own[upstream.name] > 0
    if standing is _latency.Standing.PROBING and busy:
        return "probation:probe running"
    return None


def free_slot(upstream: _catalog.Labelled, question: Question) -> str | None:
    """Excludes upstreams without a slot for this entry."""
    state = question.work.state
    previous = question.previous
    if previous is not None:
        kept = state.slots.is_free(upstream, previous.owned, previous.limits)
        return None if kept else "slots"
    use = state.slots.use_of(
        upstream,
        state.service.traffic_class,
        question.now_s,
        directed=question.work.intent is not None,
    )
    return "slots" if use is None else None


ELIGIBILITY: Sequence[Rule] = (
    not_leaving,
    not_expired,
    allowed_by_intent,
    reachable,
    not_tried,
)
AVAILABILITY: Sequence[Rule] = (
    near_enough,
    within_link_share,
    within_headroom,
    normal_latency,
    free_slot,
)


def _standing(
    upstream: _catalog.Labelled, question: Question
) -> _latency.Standing:
    record = upstream.known.record
    peers = question.work.state.peers(record.region)
    latency = peers.of(record.upstream, record.incarnation)
    return latency.standing(question.now_s)


def passing(
    upstreams: Iterable[_catalog.Labelled],
    rules: Sequence[Rule],
    question: Question,
    excluded: list[_decisions.Exclusion],
) -> Iterator[_catalog.Labelled]:
    """Yields the upstreams that no rule excludes, and keeps the reasons."""
    for upstream in upstreams:
        found = (rule(upstream, question) for rule in rules)
        reason = next((r for r in found if r is not None), None)
        if reason is None:
            yield upstream
        else:
            excluded.append(_decisions.Exclusion(upstream.name, reason))


def scored(
    upstreams: Iterable[_catalog.Labelled],
    question: Question,
    draw: random.Random,
) -> Iterator[tuple[_decisions.ScoredCandidate, _catalog.Labelled]]:
    """Yields the upstreams with their scores.

    The score estimates how full the upstream would be, multiplied by its
    latency relative to its peers.
    """
    work = question.work
    slots = work.state.slots
    for upstream in upstreams:
        record = upstream.known.record
        own = slots.own[record.upstream]
        counted = own + slots.others_at(record.upstream, question.now_s)
        reported = _report_effect(upstream, counted, question)
        ratio = work.state.peers(record.region).ratio(record.upstream)
        score = (counted + reported + 1) / record.slots * max(1.0, ratio)
        owned = own < slots.owned[record.upstream]
        score += 0.0 if owned else FOREIGN_SLOT_SCORE
        if record.region != question.region:
            score += REMOTE_SCORE
            score += slots.load(record.region, question.now_s)
        if record.failure_domain in work.avoided_domains:
            score += AVOIDED_DOMAIN_SCORE
        score += TIE_BREAK * draw.random()
        yield (
            _decisions.ScoredCandidate(record.upstream, score, owned),
            upstream,
        )


def _report_effect(
    upstream: _catalog.Labelled, counted: float, question: Question
) -> float:
    report = upstream.known.record.load
    if report is None:
        return 0.0
    half_life = question.work.state.settings.report_half_life_s
    age = report.age_s + question.now_s - upstream.known.renewed_at_s
    excess = max(0, report.in_flight + report.queued - counted)
    weight = math.exp2(-age / half_life)
    return min(MAX_REPORT_EFFECT, excess * weight)


@attrs.frozen
class Choice:
    """A chosen upstream, whose slot is already counted."""

    upstream: _catalog.Labelled
    hold: _hold.Hold


def choose(question: Question, draw: random.Random) -> Choice | None:
    """Chooses an upstream and takes its slot.

    The decision of the work gets the candidates and exclusions.

    Args:
        question: The choice.
        draw: Source of randomness for equal scores.

    Returns:
        The choice, or None when no upstream is available now.
    """
    work = question.work
    state = work.state
    excluded: list[_decisions.Exclusion] = []
    eligible = list(
        passing(question.upstreams(), ELIGIBILITY, question, excluded)
    )
    normal = [
        u
        for u in eligible
        if _standing(u, question) is _latency.Standing.NORMAL
    ]
    near = any(u.region == question.region for u in normal)
    waited = question.now_s - work.arrived_s
    question = attrs.evolve(
        question,
        near_only=near and waited < state.settings.spill_after_s,
        only_outliers=not normal,
    )
    available = passing(eligible, AVAILABILITY, question, excluded)
    candidates = sorted(
        scored(available, question, draw), key=lambda found: found[0].score
    )
    work.decision.candidates = tuple(found for found, _ in candidates)
    work.decision.exclusions = tuple(excluded)
    if not candidates:
        return None
    upstream = candidates[0][1]
    return Choice(
        upstream,
        state.slots.take(upstream.name, upstream.region),
    )
