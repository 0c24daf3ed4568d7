"""Guards against changes lost in crashes, partitions or races of operators.

Real control processes on loopback behind the fault proxy, in real time.
"""

import json
import shutil
import signal

import pytest
import trio

pytestmark = pytest.mark.processes

REGIONS = ("pb", "za", "tn")
NEW_LEADER_S = 5.0
# Allowance for starting the interpreter and the command on a busy machine.
COMMAND_START_S = 2.0


async def apply_drain(system, name, *arguments, at=()):
    path = system.folder / f"{name}.ini"
    path.write_text(f"[drain {name}]\nupstreams = rack = {name}\n")
    return await system.operate("apply", path.name, *arguments, at=at)


async def read_configuration(system, at=()):
    status, output = await system.operate("show", at=at)
    assert status == 0, output
    return output


async def test_accepted_changes_survive_a_killed_leader(system):
    await system.start_control(REGIONS)
    assert (await apply_drain(system, "r1"))[0] == 0
    leader = system.leader()
    await system.kill(leader.name)
    started_at_s = trio.current_time()
    status, output = await apply_drain(system, "r2")
    duration_s = trio.current_time() - started_at_s
    assert status == 0, output
    assert duration_s <= NEW_LEADER_S + COMMAND_START_S
    await system.start(leader.name)
    text = await read_configuration(system, at=(leader.name,))
    assert "[drain r1]" in text
    assert "[drain r2]" in text


async def test_an_isolated_leader_accepts_nothing_and_reverts_nothing(system):
    await system.start_control(REGIONS)
    assert (await apply_drain(system, "r1"))[0] == 0
    isolated = system.leader().name
    system.isolate(isolated)
    refused, output = await apply_drain(
        system, "lost", "--timeout", "8", at=(isolated,)
    )
    assert refused in {1, 4, 5}, output
    others = tuple(n.name for n in system.nodes_with_role("control"))
    others = tuple(name for name in others if name != isolated)
    accepted, output = await apply_drain(system, "r2", at=others)
    assert accepted == 0, output
    term = system.status(system.leader(excluding=isolated))["term"]
    system.proxy.restore_all()
    revision = system.status(system.leader(excluding=isolated))["revision"]
    await system.wait_until(
        lambda: (
            (system.status(system.nodes[isolated]) or {}).get("revision", 0)
            >= revision
        ),
        NEW_LEADER_S,
        "the isolated replica catches up",
    )
    text = await read_configuration(system, at=(isolated,))
    assert "[drain r2]" in text
    assert "[drain lost]" not in text
    # A replica that rejoins must not force an election.
    assert system.status(system.leader())["term"] == term


async def test_one_of_two_racing_operators_wins(system):
    await system.start_control(REGIONS)
    _, output = await system.operate("show", "--json")
    base = str(json.loads(output)["configuration"]["revision"])
    verdicts = {}

    async def race(name):
        verdicts[name] = await apply_drain(system, name, "--base", base)

    async with trio.open_nursery() as nursery:
        for name in ("a", "b", "c"):
            nursery.start_soon(race, name)
    statuses = sorted(status for status, _ in verdicts.values())
    assert statuses == [0, 3, 3], verdicts
    winner = next(name for name, (code, _) in verdicts.items() if code == 0)
    text = await read_configuration(system)
    assert text.count("[drain ") == 1
    assert f"[drain {winner}]" in text


async def test_loss_of_a_second_vm_after_a_repaired_disk_loses_no_change(
    system,
):
    await system.start_control(REGIONS)
    assert (await apply_drain(system, "r1"))[0] == 0
    leader = system.leader().name
    names = [node.name for node in system.nodes_with_role("control")]
    repaired, untouched = (name for name in names if name != leader)
    await system.kill(repaired)
    shutil.rmtree(system.folder / f"{repaired}.data")
    assert (await apply_drain(system, "r2"))[0] == 0
    old_identity = get_voter_identity(system, leader, repaired)
    await system.start(repaired)
    await system.wait_until(
        lambda: (
            get_voter_identity(system, leader, repaired)
            not in {None, old_identity}
        ),
        20,
        "the repaired replica becomes a voter",
    )
    await system.kill(leader, signal.SIGKILL)
    status, output = await apply_drain(system, "r3", at=(repaired, untouched))
    assert status == 0, output
    text = await read_configuration(system, at=(repaired,))
    for name in ("r1", "r2", "r3"):
        assert f"[drain {name}]" in text


def get_voter_identity(system, leader, name):
    """Returns the replica ID of a voter in the leader's status.

    Returns:
        The ID, or None unless exactly one voter has the name.
    """
    status = system.status(system.nodes[leader]) or {}
    identities = [
        member["replica_id"]
        for member in status.get("replicas", {}).get("members", ())
        if member["name"] == name and member["voter"]
    ]
    return identities[0] if len(identities) == 1 else None


async def test_a_frozen_leader_is_replaced_and_reverts_nothing(system):
    await system.start_control(REGIONS)
    assert (await apply_drain(system, "r1"))[0] == 0
    frozen = system.leader().name
    await system.kill(frozen, signal.SIGSTOP)
    others = tuple(n.name for n in system.nodes_with_role("control"))
    others = tuple(name for name in others if name != frozen)
    started_at_s = trio.current_time()
    status, output = await apply_drain(system, "r2", at=others)
    assert status == 0, output
    assert trio.current_time() - started_at_s <= NEW_LEADER_S + COMMAND_START_S
    await system.kill(frozen, signal.SIGCONT)
    revision = system.status(system.leader(excluding=frozen))["revision"]
    await system.wait_until(
        lambda: (
            (system.status(system.nodes[frozen]) or {}).get("revision", 0)
            >= revision
        ),
        NEW_LEADER_S,
        "the frozen replica catches up",
    )
    text = await read_configuration(system, at=(frozen,))
    assert "[drain r1]" in text
    assert "[drain r2]" in text
