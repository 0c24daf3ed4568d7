"""Checkers of the guarantees of the system on records made outside of it.

Each checker yields a text for each violation. The bounds are those of the pages
of the platform, which it also gives to the nodes
(tests/platform/deployment.py).
"""

import collections
from collections.abc import Iterator

import attrs

from tests.soak import history

# Time bounds apply to a node that nothing has disturbed for this time.
SETTLE_S = 4.0
# Time from the acknowledgement of a command until it must be in force.
DRAIN_S = 2.5
EVACUATE_S = 5.0
GRACE_S = 4.0
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S = 0.2, 56, 10.0
MAX_COLD_REQUESTS_PER_S = 4.0 * 1.5 + 5
# Requests that are under way when a server refuses may still reach it.
UNDER_WAY_S = 0.5
MAX_REFUSED_ARRIVALS = 2
NOT_RUN_STATUSES = (408, 421, 429, 503)


def at_most_once(observed: history.History) -> Iterator[str]:
    """A request that must not be repeated runs at most once."""
    once_ids = {answer.request_id for answer in observed.answers if answer.once}
    run_counts = collections.Counter(
        arrival.request_id for arrival in observed.arrivals if arrival.ran
    )
    for request_id in sorted(once_ids):
        if run_counts[request_id] > 1:
            yield f"{request_id} ran {run_counts[request_id]} times"


def not_run_is_true(observed: history.History) -> Iterator[str]:
    """A request that was refused as not run never runs, also not later."""
    ran = {arrival.request_id for arrival in observed.arrivals if arrival.ran}
    for answer in observed.answers:
        refused = answer.status in NOT_RUN_STATUSES
        if answer.once and refused and answer.request_id in ran:
            yield f"{answer.request_id} was answered {answer.status} and ran"


def whole_answers(observed: history.History) -> Iterator[str]:
    """A successful answer is the complete answer of a server to the request."""
    server_answers = {
        (arrival.request_id, arrival.body)
        for arrival in observed.arrivals
        if arrival.ran and arrival.status == 200
    }
    for answer in observed.answers:
        if answer.status == 200 and not (
            answer.signed and (answer.request_id, answer.body) in server_answers
        ):
            yield f"{answer.request_id} got a body that no server sent"


def drained(observed: history.History) -> Iterator[str]:
    """A drained server gets no request once `DRAIN_S` has passed."""
    drained_at_s = {
        command.name: command.at_s
        for command in observed.commands
        if command.kind == "drain"
    }
    for arrival, answer in _arrivals_with_answers(observed):
        ack_s = drained_at_s.get(arrival.server)
        late = ack_s is not None and answer.sent_s > ack_s + DRAIN_S
        if late and _edge_was_undisturbed(observed, arrival, answer):
            yield (
                f"{arrival.request_id} reached {arrival.server}, which was"
                " drained"
            )


def leaving_heard(observed: history.History) -> Iterator[str]:
    """An edge sends nothing to a server once it passed on that it leaves."""
    heard_s: dict[tuple[str, str], float] = {}
    pairs = list(_arrivals_with_answers(observed))
    for arrival, answer in pairs:
        if arrival.leaving and answer.signed and answer.status:
            key = (answer.edge, arrival.server)
            heard_s[key] = min(answer.ended_s, heard_s.get(key, answer.ended_s))
    for arrival, answer in pairs:
        since_s = heard_s.get((answer.edge, arrival.server), float("inf"))
        if answer.sent_s > since_s + DRAIN_S and observed.is_undisturbed(
            answer.edge, since_s, arrival.at_s
        ):
            yield (
                f"{arrival.request_id} reached {arrival.server}, which had told"
                f" {answer.edge} that it leaves"
            )


def refusals_heeded(observed: history.History) -> Iterator[str]:
    """An edge sends nothing to a server in the time for which it refuses."""
    pairs = list(_arrivals_with_answers(observed))
    for refused, told in pairs:
        if not refused.refusal_s:
            continue
        start_s = refused.at_s + UNDER_WAY_S
        end_s = refused.at_s + refused.refusal_s
        reached = [
            arrival
            for arrival, answer in pairs
            if (arrival.server, answer.edge) == (refused.server, told.edge)
            and start_s < arrival.at_s < end_s
        ]
        if len(reached) > MAX_REFUSED_ARRIVALS and observed.is_undisturbed(
            told.edge, refused.at_s, end_s
        ):
            yield (
                f"{len(reached)} requests from {told.edge} reached"
                f" {refused.server}, which refuses them"
            )


def evacuated(observed: history.History) -> Iterator[str]:
    """An evacuated zone gets no request once `EVACUATE_S` has passed."""
    for evacuation in (
        command for command in observed.commands if command.kind == "evacuate"
    ):
        end_s = min(
            (
                command.at_s
                for command in observed.commands
                if (command.kind, command.name) == ("return", evacuation.name)
                and command.at_s > evacuation.at_s
            ),
            default=float("inf"),
        )
        for arrival, answer in _arrivals_with_answers(observed):
            during = evacuation.at_s + EVACUATE_S < answer.sent_s < end_s
            if (
                during
                and arrival.zone == evacuation.name
                and arrival.at_s < end_s
                and _edge_was_undisturbed(observed, arrival, answer)
            ):
                yield (
                    f"{arrival.request_id} reached {arrival.zone}, which is"
                    " evacuated"
                )


def _arrivals_with_answers(
    observed: history.History,
) -> Iterator[tuple[history.Arrival, history.Answer]]:
    """Yields each arrival with what its caller got.

    Arrivals that the server refused as meant for another incarnation (421) are
    left out.
    """
    answers = {answer.request_id: answer for answer in observed.answers}
    for arrival in observed.arrivals:
        if arrival.request_id in answers and arrival.status != 421:
            yield arrival, answers[arrival.request_id]


def _edge_was_undisturbed(
    observed: history.History, arrival: history.Arrival, answer: history.Answer
) -> bool:
    """Returns whether the edge could learn of a command before a request."""
    return observed.is_undisturbed(
        answer.edge, answer.sent_s - SETTLE_S, arrival.at_s
    )


def never_older(observed: history.History) -> Iterator[str]:
    """An edge never returns to an older configuration."""
    newest: dict[str, int] = {}
    for probe in observed.probes:
        if probe.version < newest.get(probe.edge, 0):
            yield f"{probe.edge} returned to version {probe.version}"
        newest[probe.edge] = max(probe.version, newest.get(probe.edge, 0))


def one_winner(observed: history.History) -> Iterator[str]:
    """At most one of several changes of one version is acknowledged."""
    changes = {
        (command.base, command.name)
        for command in observed.commands
        if command.kind == "change"
    }
    for base, count in collections.Counter(b for b, _ in changes).items():
        if count > 1:
            yield f"{count} changes of version {base} were acknowledged"


def acknowledged_survives(observed: history.History) -> Iterator[str]:
    """Each core node ends at the newest acknowledged version or a newer one."""
    newest = max(
        (
            int(command.name)
            for command in observed.commands
            if command.kind == "change"
        ),
        default=0,
    )
    for core, version in sorted(observed.read_back.items()):
        if version is None:
            yield f"{core} could not be read"
        elif version < newest:
            yield f"{core} has version {version}, {newest} was acknowledged"


def retry_budget(observed: history.History) -> Iterator[str]:
    """In any window the number of retries is within the retry budget."""
    retries, observed_ids = [], set()
    for arrival in sorted(observed.arrivals, key=lambda arrival: arrival.at_s):
        if arrival.request_id in observed_ids:
            retries.append(arrival.at_s)
        observed_ids.add(arrival.request_id)
    sent = sorted(answer.sent_s for answer in observed.answers)
    for index, end_s in enumerate(retries):
        count = sum(s > end_s - RETRY_WINDOW_S for s in retries[: index + 1])
        requests = max(
            sum(
                end_s - shift_s - RETRY_WINDOW_S < s <= end_s - shift_s
                for s in sent
            )
            for shift_s in (0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
        )
        if count > RETRY_RATIO * requests + RETRY_SLACK:
            yield f"{count} retries in a window with {requests} requests"


def cold_rate(observed: history.History) -> Iterator[str]:
    """A cold server gets a limited number of requests in any second."""
    by_server = collections.defaultdict(list)
    for arrival in observed.arrivals:
        # Requests that waited in the accept queue of the former server at the
        # address are refused with 421; the platform does not count them.
        if arrival.cold and arrival.status != 421:
            by_server[arrival.server].append(arrival.at_s)
    for server, times in by_server.items():
        times.sort()
        for index, end_s in enumerate(times):
            count = sum(end_s - 1 < time_s for time_s in times[: index + 1])
            if count > MAX_COLD_REQUESTS_PER_S:
                yield f"cold {server} got {count} requests in a second"


def clean_stops(observed: history.History) -> Iterator[str]:
    """A node that is signaled to stop exits in time and aborts no request."""
    for node_exit in observed.exits:
        if (
            node_exit.code != 0
            or node_exit.ended_s - node_exit.signaled_s > GRACE_S
        ):
            yield f"{node_exit.node} exited with {node_exit.code} or late"
        yield from _find_aborted_requests(observed, node_exit)


def _find_aborted_requests(
    observed: history.History, node_exit: history.Exit
) -> Iterator[str]:
    """Yields a text for each request that reached a server and got no answer.

    Only requests whose attempt ends while the node stops are considered.
    """
    arrivals = {arrival.request_id: arrival for arrival in observed.arrivals}
    for answer in observed.answers:
        arrival = arrivals.get(answer.request_id)
        during = node_exit.signaled_s < answer.ended_s <= node_exit.ended_s + 1
        if (
            answer.edge != node_exit.node
            or answer.status is not None
            or not during
        ):
            continue
        if arrival is not None and not _edge_or_server_was_disturbed(
            observed, arrival, answer
        ):
            yield f"{node_exit.node} aborted {answer.request_id} while stopping"


def _edge_or_server_was_disturbed(
    observed: history.History, arrival: history.Arrival, answer: history.Answer
) -> bool:
    """Returns whether the edge or the server of a request was disturbed."""
    return any(
        disturbance.from_s <= answer.ended_s
        and disturbance.to_s >= answer.sent_s - SETTLE_S
        for disturbance in observed.disturbances
        if disturbance.name in (answer.edge, arrival.server.rpartition("-")[0])
    )


def recovers(observed: history.History) -> Iterator[str]:
    """Once all faults have ended, requests are served again."""
    served, sent = observed.served_after
    if served < sent / 4:
        yield f"{served} of {sent} requests were served after the faults"


CHECKERS = (
    at_most_once,
    not_run_is_true,
    whole_answers,
    drained,
    leaving_heard,
    refusals_heeded,
    evacuated,
    never_older,
    one_winner,
    acknowledged_survives,
    retry_budget,
    cold_rate,
    clean_stops,
    recovers,
)


@attrs.frozen
class Violation:
    """A broken guarantee and what was observed.

    Attributes:
        guarantee: Name of the checker.
        description: Text of the checker.
    """

    guarantee: str
    description: str


def find_violations(observed: history.History) -> list[Violation]:
    """Returns the violations that the checkers find in a history."""
    return [
        Violation(checker.__name__, description)
        for checker in CHECKERS
        for description in checker(observed)
    ]
