"""Records of upstreams, their expiry, and evidence from dispatches."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator

import attrs
import trio

from guavapulley import model
from guavapulley import ports

EXPIRE_AFTER_S = 5.0
# Records of dead and departed upstreams are kept for this time, so that a
# delayed copy of an older record is not taken for a new upstream.
FORGET_AFTER_S = 60.0
# A service whose upstreams all stopped renewing stays usable this long
# without any dispatch that would prove or disprove that they live.
UNPROVEN_LIMIT_S = 3600.0
# A success counts as proof of life only when at least one renewal had been
# missed by then; renewals come every 1 s.
MISSED_RENEWAL_S = 2.0
SUCCESS_EVIDENCE_S = 60.0
# One failed dispatch can have other causes. After the retry time the upstream
# is tried again, as nothing else would tell that it is back.
FAILURES_TO_EXPIRE = 2
FAILURE_EVIDENCE_S = 10.0
# Freshness changes slowly; requests within this time share one evaluation.
VIEW_AGE_S = 0.1


@attrs.define
class _Known:
    """An upstream with the evidence from dispatches to it."""

    record: model.UpstreamRecord
    renewed_at_s: float
    first_seen_s: float
    last_success_s: float = float("-inf")
    last_failure_s: float = float("-inf")
    failures: int = 0

    def overdue(self, now: float) -> bool:
        return now - self.renewed_at_s > EXPIRE_AFTER_S

    def leaving(self) -> bool:
        return self.record.state is model.UpstreamState.LEAVING

    def failing(self, now: float) -> bool:
        return (
            self.failures >= FAILURES_TO_EXPIRE
            and now - self.last_failure_s < FAILURE_EVIDENCE_S
        )

    def proven(self, now: float) -> bool:
        """Returns whether a dispatch succeeded after renewals had stopped."""
        return (
            self.last_success_s >= self.renewed_at_s + MISSED_RENEWAL_S
            and now - self.last_success_s <= SUCCESS_EVIDENCE_S
        )


def version(record: model.UpstreamRecord) -> tuple[int, bool, int]:
    """Returns the order of a record among those of its upstream.

    Leaving is final within an incarnation: a renewal that was overtaken by
    the leave must not undo it.
    """
    leaving = record.state is model.UpstreamState.LEAVING
    return (record.incarnation, leaving, record.sequence)


class UpstreamTable:
    """The upstreams that one entry knows, by service."""

    def __init__(self) -> None:
        self.known: dict[str, _Known] = {}
        self.services: dict[str, set[str]] = collections.defaultdict(set)
        self._views: dict[
            str, tuple[float, tuple[ports.KnownUpstream, ...]]
        ] = {}

    def merge(self, record: model.UpstreamRecord) -> bool:
        """Takes a record from the upstream itself or from gossip.

        Returns:
            Whether it was newer than the known one.
        """
        now = trio.current_time()
        renewed_at = now - record.age_s
        known = self.known.get(record.upstream)
        if known is None:
            self._store(_Known(record, renewed_at, now))
            return True
        if version(record) <= version(known.record):
            return False
        restarted = record.incarnation != known.record.incarnation
        returned = (
            known.overdue(now)
            and self._freshness(known) is ports.Freshness.EXPIRED
        )
        replacement = (
            _Known(record, renewed_at, now)
            if restarted or returned
            else attrs.evolve(known, record=record, renewed_at_s=renewed_at)
        )
        self._forget(record.upstream)
        self._store(replacement)
        return True

    def record_dispatch_result(self, upstream: str, succeeded: bool) -> None:
        """Takes the result of a dispatch as evidence."""
        known = self.known.get(upstream)
        if known is None:
            return
        if succeeded:
            known.last_success_s = trio.current_time()
            known.failures = 0
        else:
            known.last_failure_s = trio.current_time()
            known.failures += 1
            self._views.pop(known.record.service, None)

    def view(self, service: str) -> tuple[ports.KnownUpstream, ...]:
        """Returns the upstreams of a service in the order of their names."""
        now = trio.current_time()
        made_at, view = self._views.get(service, (float("-inf"), ()))
        if now - made_at > VIEW_AGE_S:
            view = tuple(self._evaluate(service, now))
            self._views[service] = (now, view)
        return view

    def outgoing(self, upstream: str) -> model.UpstreamRecord | None:
        """Returns the record to gossip with its age, or None if forgotten."""
        known = self.known.get(upstream)
        if known is None:
            return None
        age = trio.current_time() - known.renewed_at_s
        return attrs.evolve(known.record, age_s=age)

    def sweep(self) -> Iterator[str]:
        """Forgets upstreams long expired or departed; yields their names."""
        now = trio.current_time()
        old = [
            known
            for known in self.known.values()
            if now - known.renewed_at_s > FORGET_AFTER_S
        ]
        for known in old:
            if self._freshness(known) is ports.Freshness.EXPIRED:
                self._forget(known.record.upstream)
                yield known.record.upstream

    def _store(self, known: _Known) -> None:
        record = known.record
        self.known[record.upstream] = known
        self.services[record.service].add(record.upstream)
        self._views.pop(record.service, None)

    def _forget(self, upstream: str) -> None:
        service = self.known.pop(upstream).record.service
        self._views.pop(service, None)
        self.services[service].discard(upstream)
        if not self.services[service]:
            del self.services[service]

    def _freshness(self, known: _Known) -> ports.Freshness:
        view = self.view(known.record.service)
        return next(
            item.freshness
            for item in view
            if item.record.upstream == known.record.upstream
        )

    def _evaluate(
        self, service: str, now: float
    ) -> Iterator[ports.KnownUpstream]:
        members = [
            self.known[name] for name in sorted(self.services.get(service, ()))
        ]
        judged = dict(_judge(members, now))
        if ports.Freshness.FRESH not in judged.values():
            judged = dict(_keep_unproven(members, judged, now))
        for known in members:
            yield ports.KnownUpstream(
                known.record,
                known.renewed_at_s,
                known.first_seen_s,
                judged[known.record.upstream],
            )


def _judge(
    members: Iterable[_Known], now: float
) -> Iterator[tuple[str, ports.Freshness]]:
    """Yields the freshness of each upstream of one service."""
    domains: dict[str, list[_Known]] = collections.defaultdict(list)
    for known in members:
        domains[known.record.failure_domain].append(known)
    for group in domains.values():
        staying = [known for known in group if not known.leaving()]
        overdue = [known for known in staying if known.overdue(now)]
        stopped = len(overdue) * 2 > len(staying) and any(
            known.proven(now) for known in overdue
        )
        for known in group:
            yield known.record.upstream, _judge_one(known, stopped, now)


def _judge_one(known: _Known, stopped: bool, now: float) -> ports.Freshness:
    if not known.overdue(now):
        return ports.Freshness.FRESH
    if stopped and not known.leaving() and not known.failing(now):
        return ports.Freshness.STALE
    return ports.Freshness.EXPIRED


def _keep_unproven(
    members: Iterable[_Known], judged: dict[str, ports.Freshness], now: float
) -> Iterator[tuple[str, ports.Freshness]]:
    """Keeps a service without any renewal usable until dispatches fail."""
    for known in members:
        freshness = judged[known.record.upstream]
        unproven = now - known.renewed_at_s <= UNPROVEN_LIMIT_S
        if unproven and not known.leaving() and not known.failing(now):
            freshness = ports.Freshness.STALE
        yield known.record.upstream, freshness
