"""Decisions of the control state machine.

Guards against decisions that are lost, repeated or differ between replicas.
"""

import hypothesis
from hypothesis import strategies as st
import pytest

from guavapulley import control
from guavapulley import model

ACCEPTED, CONFLICT, INVALID = model.VerdictKind
GRANTED, EXISTS, KEY_REUSED, EXPIRED, AGE_INVALID = model.ClaimStatus
COMPLETED, UNKNOWN = model.OutcomeKind.COMPLETED, model.OutcomeKind.UNKNOWN
ANSWER = model.Answer(model.AnswerHead(200), b"done")


def test_the_second_change_to_a_base_revision_conflicts(machine, make):
    first = make.command(machine, 5, make.change("a", 0, make.drain("x")))
    second = make.command(machine, 6, make.change("b", 0, make.drain("y")))
    assert (first.kind, first.revision) == (ACCEPTED, 5)
    assert (second.kind, second.revision) == (CONFLICT, 5)
    assert "5" in second.message
    assert [o.name for o in machine.configuration.objects] == ["x"]


@pytest.mark.parametrize("base", [0, 5])
def test_a_resent_change_gets_its_first_verdict(machine, make, base):
    first = make.command(machine, 5, make.change("a", 0, make.drain("x")))
    make.command(machine, 6, make.change("b", 5, make.drain("y")))
    repeated = make.change("a", base, make.drain("x"))
    assert make.command(machine, 7, repeated) == first
    assert machine.configuration.revision == 6


def test_a_reused_request_id_does_not_get_the_stored_verdict(machine, make):
    make.command(machine, 1, make.change("a", 0, make.drain("x")))
    verdict = make.command(machine, 2, make.change("a", 1, make.drain("y")))
    assert verdict.kind is INVALID
    assert "another change" in verdict.message
    repeated = make.command(machine, 3, make.change("a", 0, make.drain("x")))
    assert repeated.kind is ACCEPTED


@hypothesis.given(text=st.text(max_size=40))
def test_validation_never_raises_for_text_of_operators(text):
    # An exception in `apply` would end every replica at the same command.
    for item in (
        model.Drain("d", text),
        model.Drain(text, "a = b"),
        model.LinkCap(text, 1.0),
        model.ClientBlock(text, text),
        model.LabelOverride("l", "a = b", {text: text}),
    ):
        configuration = model.Configuration(1, (item,))
        assert isinstance(control.validate_configuration(configuration), str)


def test_a_resent_change_without_stored_verdict_conflicts(
    machine, make, monkeypatch
):
    monkeypatch.setattr(control._machine, "MAX_VERDICTS", 2)
    change = make.change("a", 0, make.drain("x"))
    make.command(machine, 1, change)
    for index in (2, 3):
        make.command(machine, index, make.change(f"b{index}", 0))
    assert len(machine.verdicts) == 2
    assert make.command(machine, 4, change).kind is CONFLICT


@pytest.mark.parametrize(
    ("item", "text"),
    [
        (model.Intent("i", "", "", 100.5), "between 0 and 100"),
        (model.Intent("i", "", "", float("nan")), "between 0 and 100"),
        (model.Intent("i", "a = ", ""), "intent i"),
        (model.Drain(" ", "a = b"), "empty"),
        (model.RegionLimit("pb", -1), "negative"),
        (model.RegionLimit("pb", 1, 101), "headroom"),
        (model.LinkCap("za pb", 1), "alphabetic"),
        (model.LinkCap("pb pb", 1), "alphabetic"),
        (model.LinkCap("pb", 1), "alphabetic"),
        (model.LinkCap("pb za", 0), "positive"),
        (model.LinkCap("pb za", float("inf")), "finite"),
        (model.LinkCap("pb za", 1, 0), "entries"),
        (model.ClientBlock("10.0.0.1/8", "pb"), "host bits"),
        (model.LabelOverride("l", "a", {"region": "x"}), "automatic"),
        (model.LabelOverride("l", "a", {"k": "v" * 129}), "characters"),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_invalid_objects_are_rejected(machine, make, item, text):
    verdict = make.command(machine, 1, make.change("a", 0, item))
    assert verdict.kind is INVALID
    assert text in verdict.message
    assert machine.configuration == model.Configuration()


def test_a_key_is_granted_to_one_request(machine, make):
    assert make.command(machine, 1, make.claim()).status is GRANTED
    repeated = make.command(machine, 2, make.claim())
    assert repeated.status is GRANTED
    other = make.command(machine, 3, make.claim("r2", entry="e2"))
    assert (other.status, other.outcome.request_id) == (EXISTS, "r1")
    reused = make.command(machine, 4, make.claim("r3", body_hash="other"))
    assert reused.status is KEY_REUSED


@pytest.mark.parametrize("kind", [COMPLETED, UNKNOWN])
def test_a_key_with_an_outcome_is_not_granted_again(machine, make, kind):
    make.command(machine, 1, make.claim())
    record = model.RecordOutcome("order/k1", "r1", kind, ANSWER)
    assert make.command(machine, 2, record).recorded
    reply = make.command(machine, 3, make.claim())
    assert (reply.status, reply.outcome.kind) == (EXISTS, kind)
    assert reply.outcome.answer == ANSWER
    assert not make.command(
        machine, 4, model.ReleaseClaim("order/k1", "r1")
    ).recorded


def test_a_completed_outcome_is_never_replaced(machine, make):
    make.command(machine, 1, make.claim())
    for index, kind in enumerate((UNKNOWN, COMPLETED, UNKNOWN), 2):
        make.command(
            machine, index, model.RecordOutcome("order/k1", "r1", kind, ANSWER)
        )
    claimed = model.RecordOutcome(
        "order/k1", "r1", model.OutcomeKind.CLAIMED, None
    )
    assert not make.command(machine, 5, claimed).recorded
    reply = make.command(machine, 6, make.claim("r2"))
    assert reply.outcome.kind is COMPLETED


def test_only_the_claiming_request_can_record_or_release(machine, make):
    make.command(machine, 1, make.claim())
    wrong = model.ReleaseClaim("order/k1", "r2")
    assert not make.command(machine, 2, wrong).recorded
    record = model.RecordOutcome("order/k1", "r2", COMPLETED, ANSWER)
    assert not make.command(machine, 3, record).recorded
    own = model.ReleaseClaim("order/k1", "r1")
    assert make.command(machine, 4, own).recorded
    assert make.command(machine, 5, make.claim("r2")).status is GRANTED


@pytest.mark.parametrize("ahead_s", [0, 299])
def test_a_key_is_never_granted_again_after_its_retention(
    machine, make, ahead_s
):
    created_s = make.start_s + ahead_s
    make.command(machine, 1, make.claim(created_s=created_s))
    statuses = set()
    for index in range(2, 1_800):
        at_s = make.start_s + make.day_s - 900 + index
        retry = make.claim(f"r{index}", created_s=created_s)
        statuses.add(make.command(machine, index, retry, at_s).status)
    assert statuses == {EXISTS, EXPIRED}
    assert not machine.keys.records


@pytest.mark.parametrize(
    ("created", "status"),
    [
        (-24 * 3_600 - 1, EXPIRED),
        (-24 * 3_600 + 1, GRANTED),
        (299, GRANTED),
        (301, AGE_INVALID),
        (float("nan"), AGE_INVALID),
    ],
)
def test_the_age_of_a_key_is_checked_against_log_time(
    machine, make, created, status
):
    request = make.claim(created_s=make.start_s + created)
    assert make.command(machine, 1, request).status is status


def test_log_time_never_decreases(machine, make):
    make.command(machine, 1, make.claim(key="a"), make.start_s + make.day_s + 9)
    reply = make.command(machine, 2, make.claim(key="b"), make.start_s)
    assert reply.status is EXPIRED


def test_a_restored_state_machine_decides_as_the_original(machine, make):
    make.command(machine, 1, make.change("a", 0, make.drain("x")))
    make.command(machine, 2, make.claim())
    make.command(
        machine, 3, model.RecordOutcome("order/k1", "r1", COMPLETED, ANSWER)
    )
    other = control.ControlStateMachine(make.codec)
    other.restore(machine.snapshot())
    assert other.snapshot() == machine.snapshot()
    for request in (
        make.change("a", 0, make.drain("x")),
        make.change("b", 1, make.drain("y")),
        make.claim("r2"),
    ):
        expected = make.command(machine, 4, request)
        assert make.command(other, 4, request) == expected
