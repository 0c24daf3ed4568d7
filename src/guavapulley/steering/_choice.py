"""Filters and scores the upstreams for a request and chooses one."""

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
from guavapulley.steering import _latency
from guavapulley.steering import _links
from guavapulley.steering import _permit
from guavapulley.steering import _services

# A load report adds at most this many requests to the count in the score,
# because reports are delayed and can be wrong.
MAX_REPORT_EFFECT_REQUESTS = 1.0
# Added for an upstream in another region; larger than all other terms.
REMOTE_REGION_SCORE = 1_000.0
UNOWNED_SLOT_SCORE = 0.5
AVOIDED_DOMAIN_SCORE = 100.0
TIE_BREAK_SCORE = 1e-3


@attrs.define
class PendingRequest:
    """A request that has been accepted and not yet answered.

    Attributes:
        request: Request with all its labels.
        state: State of the requested service.
        intent: Intent that applies to the request, or None for the default.
        arrived_s: Time of arrival on trio's clock.
        decision: Explanation, filled in while the request is processed.
        tried_upstreams: Names of the upstreams of earlier attempts.
        avoided_domains: Failure domains of earlier attempts.
        capped_regions: Regions to which the link cap refused the request.
        sent_attempts: Number of attempts that may have reached an upstream.
    """

    request: model.SteeredRequest
    state: _services.ServiceState
    intent: model.Intent | None
    arrived_s: float
    decision: _decisions.Decision
    tried_upstreams: set[str] = attrs.field(factory=set)
    avoided_domains: set[str] = attrs.field(factory=set)
    capped_regions: set[str] = attrs.field(factory=set)
    sent_attempts: int = 0

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have reached an upstream."""
        return self.sent_attempts > 0


@attrs.frozen
class ChoiceContext:
    """Input of one choice of an upstream.

    Attributes:
        pending: Request to choose an upstream for.
        now_s: Current time on trio's clock.
        region: Region of the entry.
        detached: Whether the entry is detached.
        links: Shares of the links between regions; None without limits.
        local_region_only: Whether other regions are not considered yet.
        all_in_probation: Whether every eligible upstream is in probation.
        previous_routing: Routing to use instead of the one in force.
    """

    pending: PendingRequest
    now_s: float
    region: str
    detached: bool
    links: _links.LinkShares | None
    local_region_only: bool = False
    all_in_probation: bool = False
    previous_routing: _handover.PreviousRouting | None = None

    def intent(self) -> model.Intent | None:
        """Returns the intent that applies to the request, if any."""
        if self.previous_routing is None:
            return self.pending.intent
        intents = self.previous_routing.configuration.intents()
        return _catalog.select_intent(self.pending.request, intents)

    def upstreams(self) -> Sequence[_catalog.LabelledUpstream]:
        """Returns the labelled upstreams of the routing in use."""
        if self.previous_routing is None:
            return self.pending.state.upstreams
        return self.previous_routing.upstreams


class ExclusionRule(Protocol):
    """Excludes upstreams from a choice."""

    def __call__(
        self, upstream: _catalog.LabelledUpstream, context: ChoiceContext
    ) -> str | None:
        """Returns the reason to exclude the upstream, or None to keep it."""


def exclude_leaving(
    upstream: _catalog.LabelledUpstream, context: ChoiceContext
) -> str | None:
    """Excludes upstreams that are drained or leaving."""
    if upstream.drain is not None:
        return f"drain:{upstream.drain}"
    if upstream.observation.record.state is model.UpstreamState.LEAVING:
        return "leaving"
    return None


def exclude_expired(
    upstream: _catalog.LabelledUpstream, context: ChoiceContext
) -> str | None:
    """Excludes upstreams whose record has expired without renewal."""
    expired = upstream.observation.freshness is ports.Freshness.EXPIRED
    return "expired" if expired else None


def exclude_outside_intent(
    upstream: _catalog.LabelledUpstream, context: ChoiceContext
) -> str | None:
    """Excludes upstreams that the selector of the intent does not match."""
    intent = context.intent()
    if intent is None:
        return None
    selector = selectors.parse(intent.upstreams)
    matches = selector.matches(upstream.labels)
    return None if matches else f"intent:{intent.name}"


def exclude_unreachable(
    upstream: _catalog.LabelledUpstream, context: ChoiceContext
) -> str | None:
    """Excludes other regions while the entry is detached."""
    if context.detached and upstream.region != context.region:
        return "detached"
    return None


def exclude_tried(
    upstream: _catalog.LabelledUpstream, context: ChoiceContext
) -> str | None:
    """Excludes upstreams of earlier attempts."""
    return "tried" if upstream.name in context.pending.tried_upstreams else None


def exclude_remote(
    upstream: _catalog.LabelledUpstream, context: ChoiceContext
) -> str | None:
    """Excludes other regions while the request waits for the local one."""
    if context.local_region_only and upstream.region != context.region:
        return "nearer region"
    return None


def exclude_capped_links(
    upstream: _catalog.LabelledUpstream, context: ChoiceContext
) -> str | None:
    """Excludes regions to which the link share is exhausted."""
    region = upstream.region
    if region in context.pending.capped_regions:
        return "link share"
    if context.links is None or region == context.region:
        return None
    bulk = (
        context.pending.state.service.traffic_class is model.TrafficClass.BULK
    )
    has_tokens = context.links.may_send(context.region, region, bulk=bulk)
    return None if has_tokens else "link share"


def exclude_without_headroom(
    upstream: _catalog.LabelledUpstream, context: ChoiceContext
) -> str | None:
    """Excludes other regions whose slots in use reach into the headroom."""
    if upstream.region == context.region:
        return None
    slots = context.pending.state.slots
    has_free_slots = slots.has_headroom(upstream.region, context.now_s)
    return None if has_free_slots else "headroom"


def exclude_outliers(
    upstream: _catalog.LabelledUpstream, context: ChoiceContext
) -> str | None:
    """Excludes outliers; one in the probing state gets one request at a time.

    No upstream is excluded if all are in probation.
    """
    if context.all_in_probation:
        return None
    outlier_state = _outlier_state(upstream, context)
    if outlier_state is _latency.OutlierState.EXCLUDED:
        return "probation"
    has_request = context.pending.state.slots.own_in_flight[upstream.name] > 0
    if outlier_state is _latency.OutlierState.PROBING and has_request:
        return "probation:probe running"
    return None


def exclude_without_slot(
    upstream: _catalog.LabelledUpstream, context: ChoiceContext
) -> str | None:
    """Excludes upstreams without a free slot that this entry may use."""
    state = context.pending.state
    previous_routing = context.previous_routing
    if previous_routing is not None:
        has_free_slot = state.slots.has_free_previous_slot(
            upstream, previous_routing.owned, previous_routing.limits
        )
        return None if has_free_slot else "slots"
    slot_use = state.slots.classify_use(
        upstream,
        state.service.traffic_class,
        context.now_s,
        has_intent=context.pending.intent is not None,
    )
    return "slots" if slot_use is None else None


ELIGIBILITY_RULES: Sequence[ExclusionRule] = (
    exclude_leaving,
    exclude_expired,
    exclude_outside_intent,
    exclude_unreachable,
    exclude_tried,
)
AVAILABILITY_RULES: Sequence[ExclusionRule] = (
    exclude_remote,
    exclude_capped_links,
    exclude_without_headroom,
    exclude_outliers,
    exclude_without_slot,
)


def _outlier_state(
    upstream: _catalog.LabelledUpstream, context: ChoiceContext
) -> _latency.OutlierState:
    record = upstream.observation.record
    peers = context.pending.state.peer_latencies(record.region)
    latency = peers.get_or_create(record.upstream, record.incarnation)
    return latency.outlier_state(context.now_s)


def filter_upstreams(
    upstreams: Iterable[_catalog.LabelledUpstream],
    rules: Sequence[ExclusionRule],
    context: ChoiceContext,
    exclusions: list[_decisions.Exclusion],
) -> Iterator[_catalog.LabelledUpstream]:
    """Yields the upstreams that no rule excludes.

    Args:
        upstreams: Upstreams to filter.
        rules: Rules in the order of evaluation; the first reason counts.
        context: Input of the choice.
        exclusions: List to which the excluded upstreams are appended.
    """
    for upstream in upstreams:
        reasons = (rule(upstream, context) for rule in rules)
        reason = next((r for r in reasons if r is not None), None)
        if reason is None:
            yield upstream
        else:
            exclusions.append(_decisions.Exclusion(upstream.name, reason))


def score_upstreams(
    upstreams: Iterable[_catalog.LabelledUpstream],
    context: ChoiceContext,
    rng: random.Random,
) -> Iterator[tuple[_decisions.ScoredCandidate, _catalog.LabelledUpstream]]:
    """Yields the upstreams with their scores; the lowest score is the best.

    The base of the score is the expected fraction of slots in use, multiplied
    by the latency ratio to the peers if that is above 1. Slots of other
    entries, other regions and failure domains of earlier attempts add to it.
    """
    pending = context.pending
    slots = pending.state.slots
    for upstream in upstreams:
        record = upstream.observation.record
        own_requests = slots.own_in_flight[record.upstream]
        in_flight_requests = own_requests + slots.other_requests.peak_at(
            record.upstream, context.now_s
        )
        report_effect = _report_effect(upstream, in_flight_requests, context)
        ratio = pending.state.peer_latencies(record.region).ratio(
            record.upstream
        )
        score = (
            (in_flight_requests + report_effect + 1)
            / record.slots
            * max(1.0, ratio)
        )
        owned = own_requests < slots.owned[record.upstream]
        score += 0.0 if owned else UNOWNED_SLOT_SCORE
        if record.region != context.region:
            score += REMOTE_REGION_SCORE
            score += slots.load(record.region, context.now_s)
        if record.failure_domain in pending.avoided_domains:
            score += AVOIDED_DOMAIN_SCORE
        score += TIE_BREAK_SCORE * rng.random()
        yield (
            _decisions.ScoredCandidate(record.upstream, score, owned),
            upstream,
        )


def _report_effect(
    upstream: _catalog.LabelledUpstream,
    in_flight_requests: float,
    context: ChoiceContext,
) -> float:
    report = upstream.observation.record.load
    if report is None:
        return 0.0
    half_life_s = context.pending.state.settings.load_report_half_life_s
    age_s = report.age_s + context.now_s - upstream.observation.renewed_at_s
    excess_requests = max(
        0, report.in_flight + report.queued - in_flight_requests
    )
    weight = math.exp2(-age_s / half_life_s)
    return min(MAX_REPORT_EFFECT_REQUESTS, excess_requests * weight)


@attrs.frozen
class Choice:
    """A chosen upstream with the permit for its slot."""

    upstream: _catalog.LabelledUpstream
    permit: _permit.SlotPermit


def choose(context: ChoiceContext, rng: random.Random) -> Choice | None:
    """Chooses an upstream and acquires its slot.

    Candidates and exclusions are stored in the decision of the request.

    Args:
        context: Input of the choice.
        rng: Random number generator for breaking ties.

    Returns:
        The choice, or None if no upstream is available now.
    """
    pending = context.pending
    state = pending.state
    exclusions: list[_decisions.Exclusion] = []
    eligible = list(
        filter_upstreams(
            context.upstreams(), ELIGIBILITY_RULES, context, exclusions
        )
    )
    normal_upstreams = [
        u
        for u in eligible
        if _outlier_state(u, context) is _latency.OutlierState.NORMAL
    ]
    has_local_upstream = any(
        u.region == context.region for u in normal_upstreams
    )
    waited_s = context.now_s - pending.arrived_s
    context = attrs.evolve(
        context,
        local_region_only=has_local_upstream
        and waited_s < state.settings.spillover_delay_s,
        all_in_probation=not normal_upstreams,
    )
    available = filter_upstreams(
        eligible, AVAILABILITY_RULES, context, exclusions
    )
    candidates = sorted(
        score_upstreams(available, context, rng),
        key=lambda scored_upstream: scored_upstream[0].score,
    )
    pending.decision.candidates = tuple(
        scored_upstream for scored_upstream, _ in candidates
    )
    pending.decision.exclusions = tuple(exclusions)
    if not candidates:
        return None
    upstream = candidates[0][1]
    return Choice(
        upstream,
        state.slots.acquire(upstream.name, upstream.region),
    )
