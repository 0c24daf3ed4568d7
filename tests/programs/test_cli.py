"""Guards against wrong output and exit codes of operator commands."""

import pytest

from guavapulley import model
from guavapulley import ports

STEERING = """\
[intent to-za]
requests = service = line-status, tier = gold
upstreams = region = za
share = 50
"""
BAD_STEERING = """\
[drain rack-1]
upstreams = rack = (1
"""


@pytest.fixture(autouse=True)
def files(tmp_path):
    (tmp_path / "steering.ini").write_text(STEERING)
    (tmp_path / "bad.ini").write_text(BAD_STEERING)


def outdated_entry(revision, contact_s, detached_in_s):
    return ports.EntryRevision("za-1", 7, contact_s, 1.5, detached_in_s)


def status(*entries):
    ready = ports.EntryRevision("pb-1", 8, 0.2)
    return ports.RevisionStatus(8, 8, True, (ready, *entries))


async def test_applied_changes_are_listed_in_the_history(console, golden):
    codes, text = await console(
        "show",
        "diff steering.ini",
        "apply steering.ini --comment 'more to za'",
        "apply steering.ini",
        "show intent",
        "history",
    )
    golden("cli-apply.txt", text)
    assert codes == [0] * 6


async def test_dry_run_changes_nothing(console, golden, admin):
    codes, text = await console(
        "apply steering.ini --dry-run",
        "drain pb 'region = pb' --dry-run",
        "drain rack-1 'rack = 1' --dry-run",
    )
    golden("cli-dry-run.txt", text)
    assert codes == [0, 0, 0]
    assert admin.current_configuration.revision == 7


async def test_drains_and_labels_are_set_and_removed(console, golden):
    codes, text = await console(
        "drain rack-1 'rack = 1'",
        "label cold 'region = za' 'cache = cold, rack ='",
        "show label",
        "undrain rack-1",
        "undrain rack-1",
        "label cold --remove",
        "drain everything ''",
    )
    golden("cli-drain.txt", text)
    assert codes == [0, 0, 0, 0, 1, 0, 2]


async def test_conflict_shows_the_accepted_changes(console, golden, admin):
    codes, text = await console(
        "drain rack-1 'rack = 1' --operator petr --comment 'new floor'",
        "apply steering.ini --base 7",
        "apply steering.ini",
    )
    golden("cli-conflict.txt", text)
    assert codes == [0, 3, 0]


async def test_refused_and_unconfirmed_changes_are_not_made(
    console, golden, admin
):
    refusal = ports.AdminError(
        ports.CHANGE_NOT_ACCEPTED, "this replica has no quorum", not_run=True
    )
    admin.errors_to_raise = [refusal] * 100
    first_codes, text = await console("apply steering.ini --timeout 1")
    admin.confirmed = False
    admin.errors_to_raise = []
    second_codes, more_text = await console(
        "apply steering.ini --timeout 1", "show"
    )
    golden("cli-refused.txt", text + more_text)
    assert first_codes + second_codes == [4, 4, 0]
    assert admin.current_configuration.revision == 7


async def test_resending_after_a_lost_answer_changes_once(
    console, golden, admin
):
    admin.delayed_answers = 1
    admin.answer_delay_s = 3600
    codes, text = await console("apply steering.ini --timeout 1")
    resent_codes, more_text = await console(
        "apply steering.ini --request-id id-1 --base 7", "history"
    )
    golden("cli-unknown.txt", text + more_text)
    assert codes + resent_codes == [5, 0, 0]
    assert len(admin.accepted_changes) == 1


async def test_unreachable_address_is_skipped(console, golden, free_port):
    codes, text = await console(
        "apply steering.ini", servers=1, dead_port=free_port()
    )
    golden("cli-next-address.txt", text)
    assert codes == [0]


async def test_status_waits_until_a_revision_is_in_force(
    console, golden, admin
):
    admin.replica_views = [
        ports.ReplicaView(model.NodeAddress("10.0.0.1", 9081), None)
    ]
    admin.revision_statuses = [status(outdated_entry(8, 6.0, 4.0))]
    first_codes, text = await console(
        "status 8", "status 8 --wait --timeout 0.3"
    )
    admin.revision_statuses = [
        status(outdated_entry(8, 9.9, 0.1)),
        status(outdated_entry(8, 10.4, 0)),
    ]
    second_codes, more_text = await console("status 8 --wait")
    golden("cli-status.txt", text + more_text)
    assert first_codes + second_codes == [0, 6, 0]


async def test_entries_and_upstreams_are_listed(console, golden):
    codes, text = await console(
        "entries", "upstreams", "upstreams --service none", "status --json"
    )
    golden("cli-views.txt", text)
    assert codes == [0] * 4


async def test_outcomes_and_explanations_are_shown(console, golden, admin):
    admin.outcomes = {
        ("batch-release", "k1"): model.StoredOutcome(
            "batch-release/k1", "h", "pb-1", "r1", 9, 0.0
        ),
        ("batch-release", "k2"): model.StoredOutcome(
            "batch-release/k2",
            "h",
            "pb-1",
            "r2",
            9,
            0.0,
            model.OutcomeKind.COMPLETED,
            model.Answer(model.AnswerHead(201), b"batch 7"),
        ),
    }
    admin.explanations = {
        "r/1": ports.Explanation(
            "r/1",
            "pb-1",
            "line-status",
            7,
            "to-za",
            0.01,
            "answered",
            (
                ports.ExplainedUpstream("ls-za-1", score=0.25),
                ports.ExplainedUpstream("ls-pb-1", "drain:rack-1"),
            ),
            (ports.ExplainedAttempt("ls-za-1", "first", 0.031, "answered"),),
        )
    }
    codes, text = await console(
        "outcome batch-release k1",
        "outcome batch-release k2",
        "outcome batch-release k3",
        "explain r/1",
        "explain r2",
    )
    golden("cli-requests.txt", text)
    assert codes == [5, 0, 1, 0, 1]


async def test_invalid_usage_and_settings_are_refused(
    console, golden, tmp_path
):
    (tmp_path / "open").write_text("x" * 20)
    (tmp_path / "open").chmod(0o644)
    (tmp_path / "wrong").write_text("x" * 20)
    (tmp_path / "wrong").chmod(0o600)
    codes, text = await console(
        "apply bad.ini",
        "apply absent.ini",
        "show --token-file open",
        "show --token-file wrong",
        "show --control localhost:80",
        "status nine",
    )
    golden("cli-usage.txt", text)
    assert codes == [2, 2, 2, 1, 2, 2]
