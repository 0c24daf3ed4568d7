"""Broken variants of the program, each of which one checker must detect.

Run as a program, `variants.py NAME ROLE METRICS-PORT` runs a node in which one
decision is replaced. Variants replace attributes of the product by assignment:
a name that no longer exists there makes a variant ineffective.
"""

from collections.abc import Callable
import pathlib
import sys

import attrs

PATH = pathlib.Path(__file__).resolve()
ROOT = PATH.parents[2]


def _retry_after_possible_run():
    from guavapulley.forwarding import _retries

    _retries.try_acquire_retry = lambda context, registry: context.sends < 2


def _report_possible_runs_as_not_run():
    from guavapulley.forwarding import _error_answers

    for code in (_error_answers.TIMED_OUT, _error_answers.NO_WHOLE_ANSWER):
        _error_answers.STATUS[code] = 503


def _truncate_answers():
    from guavapulley.forwarding import _forwarder

    original = _forwarder.Forwarder.answer

    async def answer(self, request):
        complete = await original(self, request)
        return attrs.evolve(complete, body=complete.body[:-1])

    _forwarder.Forwarder.answer = answer


def _ignore_drains():
    from guavapulley.routing import _trackers

    _trackers.UpstreamTracker.unavailable_reason = lambda self, now_s: None


def _forget_before_each_check(attribute):
    from guavapulley.routing import _trackers

    original = _trackers.UpstreamTracker.unavailable_reason

    def unavailable_reason(self, now_s):
        setattr(self, attribute, 0)
        return original(self, now_s)

    _trackers.UpstreamTracker.unavailable_reason = unavailable_reason


def _ignore_leaving():
    from guavapulley.fleet import _machine

    # The fleet state would exclude the server as well.
    _machine.FleetStateMachine._is_newer_record = lambda self, record: (
        self.upstream(record.upstream) is None
    )
    _forget_before_each_check("leaving")


def _ignore_refusals():
    _forget_before_each_check("refused_until_s")


def _ignore_evacuations():
    from guavapulley.forwarding import _registry

    original = _registry.UpstreamRegistry.apply_state

    def apply_state(self, state):
        original(self, attrs.evolve(state, evacuated=()))

    _registry.UpstreamRegistry.apply_state = apply_state


def _apply_older_states():
    from guavapulley.nodes import _edge

    original, states = _edge.EdgeNode._apply_state, []

    def apply_state(self, state):
        states.append(state)
        original(self, states[-min(len(states), 1 + len(states) % 3 * 4)])

    _edge.EdgeNode._apply_state = apply_state


def _accept_all_changes():
    from guavapulley.fleet import _machine

    _machine.FleetStateMachine._find_refusal = lambda self, command: None


def _acknowledge_without_commit():
    from guavapulley import model
    from guavapulley.fleet import _service

    original = _service.FleetService.propose

    async def propose(self, command):
        if (
            isinstance(command, model.ChangeRouting)
            and command.change.version > 1
        ):
            return model.FleetVerdict(True, False, command.change.version)
        return await original(self, command)

    _service.FleetService.propose = propose


def _retry_without_budget():
    from guavapulley.routing import _budgets

    _budgets.RetryBudget.try_acquire = lambda self, entries: True


def _ignore_cold_budget():
    from guavapulley.routing import _budgets

    _budgets.ColdBudget.can_send = lambda self, entry, entries: True


def _stop_without_draining():
    from guavapulley.nodes import _edge

    async def stop(self):
        return

    _edge.EdgeNode._stop = stop


def _stop_watching():
    from guavapulley.forwarding import _fleet_watcher

    original = _fleet_watcher.FleetWatcher._watch

    async def watch(self, replica):
        import trio

        if self.state.routing.version > 0:
            await trio.sleep(3_600)
        return await original(self, replica)

    _fleet_watcher.FleetWatcher._watch = watch


@attrs.frozen
class Variant:
    """A broken variant of the program.

    Attributes:
        guarantee: Name of the checker that detects it.
        fault: Name of the fault in `injectors` that exposes it.
        apply: Replaces the decision in this process.
    """

    guarantee: str
    fault: str
    apply: Callable[[], None]


VARIANTS = {
    "twice": Variant("at_most_once", "spoil_server", _retry_after_possible_run),
    "false-refusal": Variant(
        "not_run_is_true",
        "spoil_server",
        _report_possible_runs_as_not_run,
    ),
    "half-answers": Variant("whole_answers", "change", _truncate_answers),
    "no-drain": Variant("drained", "drain_server", _ignore_drains),
    "deaf-to-leaving": Variant(
        "leaving_heard", "drain_server", _ignore_leaving
    ),
    "deaf-to-refusals": Variant(
        "refusals_heeded", "refuse_requests", _ignore_refusals
    ),
    "no-evacuation": Variant("evacuated", "evacuate", _ignore_evacuations),
    "older": Variant("never_older", "change", _apply_older_states),
    "two-winners": Variant("one_winner", "change", _accept_all_changes),
    "forgotten": Variant(
        "acknowledged_survives", "change", _acknowledge_without_commit
    ),
    "no-budget": Variant("retry_budget", "fail_service", _retry_without_budget),
    "no-cold-bound": Variant("cold_rate", "crash_server", _ignore_cold_budget),
    "rude-stop": Variant("clean_stops", "stop_edge", _stop_without_draining),
    "deaf": Variant("recovers", "change", _stop_watching),
}


def main():
    """Applies a variant and runs the node."""
    name, *arguments = sys.argv[1:]
    sys.path[:0] = [str(ROOT / "src"), str(ROOT / "platform")]
    VARIANTS[name].apply()
    import guavapulley_platform

    guavapulley_platform.main(arguments[0], int(arguments[1]))


if __name__ == "__main__":
    main()
