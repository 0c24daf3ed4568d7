"""Broken variants of the program, to show that the checkers see them.

Started as a program, `variants.py NAME ROLE METRICS-PORT` runs a node with one
decision replaced.
"""

from collections.abc import Callable
import pathlib
import sys

import attrs

PATH = pathlib.Path(__file__).resolve()
ROOT = PATH.parents[2]


def _repeat_what_may_have_run():
    from guavapulley.forwarding import _retries

    _retries.try_acquire_retry = lambda context, registry: context.sends < 2


def _refuse_what_may_have_run():
    from guavapulley.forwarding import _error_answers

    for code in (_error_answers.TIMED_OUT, _error_answers.NO_WHOLE_ANSWER):
        _error_answers.STATUS[code] = 503


def _cut_answers():
    from guavapulley.forwarding import _forwarder

    whole = _forwarder.Forwarder.answer

    async def answer(self, request):
        found = await whole(self, request)
        return attrs.evolve(found, body=found.body[:-1])

    _forwarder.Forwarder.answer = answer


def _use_leaving_upstreams():
    from guavapulley.routing import _trackers

    _trackers.UpstreamTracker.unavailable_reason = lambda self: None


def _use_emptied_domains():
    from guavapulley.forwarding import _registry

    usual = _registry.UpstreamRegistry.apply_state

    def apply_state(self, state):
        usual(self, attrs.evolve(state, evacuated=()))

    _registry.UpstreamRegistry.apply_state = apply_state


def _go_back():
    from guavapulley.nodes import _edge

    usual, kept = _edge.EdgeNode._apply_state, []

    def follow(self, state):
        kept.append(state)
        usual(self, kept[-min(len(kept), 1 + len(kept) % 3 * 4)])

    _edge.EdgeNode._apply_state = follow


def _accept_all_changes():
    from guavapulley.fleet import _machine

    _machine.FleetStateMachine._find_refusal = lambda self, command: None


def _acknowledge_at_once():
    from guavapulley import model
    from guavapulley.fleet import _service

    usual = _service.FleetService.propose

    async def propose(self, command):
        if (
            isinstance(command, model.ChangeRouting)
            and command.change.version > 1
        ):
            return model.FleetVerdict(True, False, command.change.version)
        return await usual(self, command)

    _service.FleetService.propose = propose


def _repeat_without_budget():
    from guavapulley.routing import _budgets

    _budgets.RetryBudget.try_acquire = lambda self, entries: True


def _use_cold_upstreams():
    from guavapulley.routing import _budgets

    _budgets.ColdBudget.can_send = lambda self, entry, entries: True


def _end_at_once():
    from guavapulley.nodes import _edge

    async def stop(self):
        return

    _edge.EdgeNode._stop = stop


def _stay_silent():
    from guavapulley.forwarding import _fleet_watcher

    usual = _fleet_watcher.FleetWatcher._watch

    async def watch(self, replica):
        import trio

        if self.state.routing.version > 0:
            await trio.sleep(3_600)
        return await usual(self, replica)

    _fleet_watcher.FleetWatcher._watch = watch


@attrs.frozen
class Variant:
    """A broken variant.

    Attributes:
        promise: Checker that sees it.
        fault: Fault that shows it.
        apply: Replaces the decision.
    """

    promise: str
    fault: str
    apply: Callable[[], None]


VARIANTS = {
    "twice": Variant("at_most_once", "spoil_server", _repeat_what_may_have_run),
    "false-refusal": Variant(
        "not_run_is_true",
        "spoil_server",
        _refuse_what_may_have_run,
    ),
    "half-answers": Variant("whole_answers", "change", _cut_answers),
    "no-drain": Variant("drained", "drain_server", _use_leaving_upstreams),
    "no-evacuation": Variant("evacuated", "evacuate", _use_emptied_domains),
    "older": Variant("never_older", "change", _go_back),
    "two-winners": Variant("one_winner", "change", _accept_all_changes),
    "forgotten": Variant(
        "acknowledged_survives", "change", _acknowledge_at_once
    ),
    "no-budget": Variant(
        "retry_budget", "fail_service", _repeat_without_budget
    ),
    "no-cold-bound": Variant("cold_rate", "crash_server", _use_cold_upstreams),
    "rude-stop": Variant("clean_stops", "stop_edge", _end_at_once),
    "deaf": Variant("recovers", "change", _stay_silent),
}


def main():
    """Breaks a decision and runs the node."""
    name, *arguments = sys.argv[1:]
    sys.path[:0] = [str(ROOT / "src"), str(ROOT / "platform")]
    VARIANTS[name].apply()
    import guavapulley_platform

    guavapulley_platform.main(arguments[0], int(arguments[1]))


if __name__ == "__main__":
    main()
