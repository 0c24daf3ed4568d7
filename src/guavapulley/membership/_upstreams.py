"""Records of upstreams, and their expiry by missing renewals and failures."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator

import attrs
import trio

from guavapulley import model
from guavapulley import ports

EXPIRE_AFTER_S = 5.0
# Records of dead and departed upstreams are kept for this time, so that a
# delayed copy of an older record is not mistaken for a new upstream.
FORGET_AFTER_S = 60.0
# A service whose upstreams all stopped renewing stays usable for this time
# without a dispatch that would prove whether they are alive.
MAX_UNPROVEN_AGE_S = 3600.0
# A successful dispatch proves that an upstream is alive only if at least one
# renewal had been missed by then. Upstreams renew every 1 s.
MISSED_RENEWAL_S = 2.0
SUCCESS_EVIDENCE_S = 60.0
# A single failed dispatch can have other causes. Failures count as evidence for
# a limited time. After it the upstream is tried again, because nothing else
# would show that it has recovered.
FAILURES_TO_EXPIRE = 2
FAILURE_EVIDENCE_S = 10.0
# Freshness changes slowly, so requests within this time share one evaluation.
VIEW_CACHE_LIFETIME_S = 0.1


@attrs.define
class _ObservedUpstream:
    """Record of an upstream, with the results of dispatches to it.

    Times are in seconds of trio's clock.

    Attributes:
        record: Newest record.
        renewed_at_s: Time of the last renewal.
        first_seen_s: Time at which this incarnation was first seen, or at
            which it returned after it had expired.
        last_success_s: Time of the last successful dispatch.
        last_failure_s: Time of the last failed dispatch.
        failures: Number of failed dispatches since the last success.
    """

    record: model.UpstreamRecord
    renewed_at_s: float
    first_seen_s: float
    last_success_s: float = float("-inf")
    last_failure_s: float = float("-inf")
    failures: int = 0

    def is_overdue(self, now_s: float) -> bool:
        return now_s - self.renewed_at_s > EXPIRE_AFTER_S

    def is_leaving(self) -> bool:
        return self.record.state is model.UpstreamState.LEAVING

    def is_failing(self, now_s: float) -> bool:
        return (
            self.failures >= FAILURES_TO_EXPIRE
            and now_s - self.last_failure_s < FAILURE_EVIDENCE_S
        )

    def is_proven_alive(self, now_s: float) -> bool:
        """Returns whether a dispatch succeeded after renewals had stopped."""
        return (
            self.last_success_s >= self.renewed_at_s + MISSED_RENEWAL_S
            and now_s - self.last_success_s <= SUCCESS_EVIDENCE_S
        )


def record_version(record: model.UpstreamRecord) -> tuple[int, bool, int]:
    """Returns a version that orders the records of an upstream.

    Leaving is final within an incarnation, so that a delayed renewal cannot
    undo it.
    """
    leaving = record.state is model.UpstreamState.LEAVING
    return (record.incarnation, leaving, record.sequence)


class UpstreamTable:
    """Table of the upstreams that were announced here or gossiped.

    Attributes:
        by_name: Upstreams by name.
        names_by_service: Names of the upstreams of each service.
    """

    def __init__(self) -> None:
        self.by_name: dict[str, _ObservedUpstream] = {}
        self.names_by_service: dict[str, set[str]] = collections.defaultdict(
            set
        )
        self._cached_views: dict[
            str, tuple[float, tuple[ports.UpstreamObservation, ...]]
        ] = {}

    def merge(self, record: model.UpstreamRecord) -> bool:
        """Merges a record from the upstream itself or from gossip.

        Returns:
            Whether the record was newer than the stored one.
        """
        now_s = trio.current_time()
        renewed_at_s = now_s - record.age_s
        observed = self.by_name.get(record.upstream)
        if observed is None:
            self._store(_ObservedUpstream(record, renewed_at_s, now_s))
            return True
        if record_version(record) <= record_version(observed.record):
            return False
        has_restarted = record.incarnation != observed.record.incarnation
        has_returned = (
            observed.is_overdue(now_s)
            and self._freshness(observed) is ports.Freshness.EXPIRED
        )
        replacement = (
            _ObservedUpstream(record, renewed_at_s, now_s)
            if has_restarted or has_returned
            else attrs.evolve(
                observed, record=record, renewed_at_s=renewed_at_s
            )
        )
        self._remove(record.upstream)
        self._store(replacement)
        return True

    def record_dispatch_result(self, upstream: str, succeeded: bool) -> None:
        """Records the result of a dispatch as evidence for the freshness."""
        observed = self.by_name.get(upstream)
        if observed is None:
            return
        if succeeded:
            observed.last_success_s = trio.current_time()
            observed.failures = 0
        else:
            observed.last_failure_s = trio.current_time()
            observed.failures += 1
            self._cached_views.pop(observed.record.service, None)

    def view(self, service: str) -> tuple[ports.UpstreamObservation, ...]:
        """Returns the upstreams of a service, ordered by name."""
        now_s = trio.current_time()
        made_at_s, view = self._cached_views.get(service, (float("-inf"), ()))
        if now_s - made_at_s > VIEW_CACHE_LIFETIME_S:
            view = tuple(self._evaluate(service, now_s))
            self._cached_views[service] = (now_s, view)
        return view

    def record_to_gossip(self, upstream: str) -> model.UpstreamRecord | None:
        """Returns the record to gossip with its age, or None without one."""
        observed = self.by_name.get(upstream)
        if observed is None:
            return None
        age_s = trio.current_time() - observed.renewed_at_s
        return attrs.evolve(observed.record, age_s=age_s)

    def prune(self) -> Iterator[str]:
        """Removes upstreams that expired and yields their names.

        An upstream is removed `FORGET_AFTER_S` after its last renewal at the
        earliest.
        """
        now_s = trio.current_time()
        prunable = [
            observed
            for observed in self.by_name.values()
            if now_s - observed.renewed_at_s > FORGET_AFTER_S
        ]
        for observed in prunable:
            if self._freshness(observed) is ports.Freshness.EXPIRED:
                self._remove(observed.record.upstream)
                yield observed.record.upstream

    def _store(self, observed: _ObservedUpstream) -> None:
        record = observed.record
        self.by_name[record.upstream] = observed
        self.names_by_service[record.service].add(record.upstream)
        self._cached_views.pop(record.service, None)

    def _remove(self, upstream: str) -> None:
        service = self.by_name.pop(upstream).record.service
        self._cached_views.pop(service, None)
        self.names_by_service[service].discard(upstream)
        if not self.names_by_service[service]:
            del self.names_by_service[service]

    def _freshness(self, observed: _ObservedUpstream) -> ports.Freshness:
        view = self.view(observed.record.service)
        return next(
            observation.freshness
            for observation in view
            if observation.record.upstream == observed.record.upstream
        )

    def _evaluate(
        self, service: str, now_s: float
    ) -> Iterator[ports.UpstreamObservation]:
        observed_upstreams = [
            self.by_name[name]
            for name in sorted(self.names_by_service.get(service, ()))
        ]
        freshness_by_name = dict(_classify(observed_upstreams, now_s))
        if ports.Freshness.FRESH not in freshness_by_name.values():
            freshness_by_name = dict(
                _retain_unproven(observed_upstreams, freshness_by_name, now_s)
            )
        for observed in observed_upstreams:
            yield ports.UpstreamObservation(
                observed.record,
                observed.renewed_at_s,
                observed.first_seen_s,
                freshness_by_name[observed.record.upstream],
            )


def _classify(
    observed_upstreams: Iterable[_ObservedUpstream], now_s: float
) -> Iterator[tuple[str, ports.Freshness]]:
    """Yields the name and freshness of each upstream of one service.

    Renewals have stopped in a failure domain if more than half of its
    upstreams are overdue and a dispatch to one of these succeeded since.
    """
    domains: dict[str, list[_ObservedUpstream]] = collections.defaultdict(list)
    for observed in observed_upstreams:
        domains[observed.record.failure_domain].append(observed)
    for domain_upstreams in domains.values():
        staying = [
            observed
            for observed in domain_upstreams
            if not observed.is_leaving()
        ]
        overdue = [
            observed for observed in staying if observed.is_overdue(now_s)
        ]
        renewals_stopped = len(overdue) * 2 > len(staying) and any(
            observed.is_proven_alive(now_s) for observed in overdue
        )
        for observed in domain_upstreams:
            yield (
                observed.record.upstream,
                _classify_one(observed, renewals_stopped, now_s),
            )


def _classify_one(
    observed: _ObservedUpstream, renewals_stopped: bool, now_s: float
) -> ports.Freshness:
    if not observed.is_overdue(now_s):
        return ports.Freshness.FRESH
    if (
        renewals_stopped
        and not observed.is_leaving()
        and not observed.is_failing(now_s)
    ):
        return ports.Freshness.STALE
    return ports.Freshness.EXPIRED


def _retain_unproven(
    observed_upstreams: Iterable[_ObservedUpstream],
    freshness_by_name: dict[str, ports.Freshness],
    now_s: float,
) -> Iterator[tuple[str, ports.Freshness]]:
    """Keeps a service without any renewal usable until its dispatches fail.

    Yields:
        Name and freshness of each upstream.
    """
    for observed in observed_upstreams:
        freshness = freshness_by_name[observed.record.upstream]
        may_be_alive = now_s - observed.renewed_at_s <= MAX_UNPROVEN_AGE_S
        if (
            may_be_alive
            and not observed.is_leaving()
            and not observed.is_failing(now_s)
        ):
            freshness = ports.Freshness.STALE
        yield observed.record.upstream, freshness
