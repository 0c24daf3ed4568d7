"""Guards accepted changes against crashes, cuts and racing operators.

Real control processes on loopback behind the fault proxy, on real time.
"""

import json
import shutil
import signal

import pytest
import trio

pytestmark = pytest.mark.processes

REGIONS = ("pb", "za", "tn")
NEW_LEADER_S = 5.0
# Start of the interpreter and of the command, on a busy machine.
COMMAND_START_S = 2.0


async def apply_drain(system, name, *arguments, at=()):
    path = system.folder / f"{name}.ini"
    path.write_text(f"[drain {name}]\nupstreams = rack = {name}\n")
    return await system.operate("apply", path.name, *arguments, at=at)


async def shown(system, at=()):
    status, output = await system.operate("show", at=at)
    assert status == 0, output
    return output


async def test_accepted_changes_survive_a_killed_leader(system):
    await system.start_control(REGIONS)
    assert (await apply_drain(system, "r1"))[0] == 0
    leader = system.leader()
    await system.kill(leader.name)
    started = trio.current_time()
    status, output = await apply_drain(system, "r2")
    took_s = trio.current_time() - started
    assert status == 0, output
    assert took_s <= NEW_LEADER_S + COMMAND_START_S
    await system.start(leader.name)
    text = await shown(system, at=(leader.name,))
    assert "[drain r1]" in text
    assert "[drain r2]" in text


async def test_isolated_leader_accepts_nothing_and_takes_nothing_back(system):
    await system.start_control(REGIONS)
    assert (await apply_drain(system, "r1"))[0] == 0
    isolated = system.leader().name
    system.isolate(isolated)
    refused, output = await apply_drain(
        system, "lost", "--timeout", "8", at=(isolated,)
    )
    assert refused in {1, 4, 5}, output
    others = tuple(n.name for n in system.of_role("control"))
    others = tuple(name for name in others if name != isolated)
    accepted, output = await apply_drain(system, "r2", at=others)
    assert accepted == 0, output
    term = system.status(system.leader(without=isolated))["term"]
    system.proxy.restore_all()
    revision = system.status(system.leader(without=isolated))["revision"]
    await system.eventually(
        lambda: (
            (system.status(system.nodes[isolated]) or {}).get("revision", 0)
            >= revision
        ),
        NEW_LEADER_S,
        "the isolated replica catches up",
    )
    text = await shown(system, at=(isolated,))
    assert "[drain r2]" in text
    assert "[drain lost]" not in text
    # A returning replica must not force an election.
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
    text = await shown(system)
    assert text.count("[drain ") == 1
    assert f"[drain {winner}]" in text


async def test_loss_of_a_second_vm_after_a_repaired_disk_loses_nothing(system):
    await system.start_control(REGIONS)
    assert (await apply_drain(system, "r1"))[0] == 0
    leader = system.leader().name
    names = [node.name for node in system.of_role("control")]
    repaired, kept = (name for name in names if name != leader)
    await system.kill(repaired)
    shutil.rmtree(system.folder / f"{repaired}.data")
    assert (await apply_drain(system, "r2"))[0] == 0
    old_identity = identity_of(system, leader, repaired)
    await system.start(repaired)
    await system.eventually(
        lambda: (
            identity_of(system, leader, repaired) not in {None, old_identity}
        ),
        20,
        "the repaired replica becomes a voter",
    )
    await system.kill(leader, signal.SIGKILL)
    status, output = await apply_drain(system, "r3", at=(repaired, kept))
    assert status == 0, output
    text = await shown(system, at=(repaired,))
    for name in ("r1", "r2", "r3"):
        assert f"[drain {name}]" in text


def identity_of(system, leader, name):
    """Returns the only voter of a name, as the leader sees it."""
    status = system.status(system.nodes[leader]) or {}
    found = [
        member["replica_id"]
        for member in status.get("replicas", {}).get("members", ())
        if member["name"] == name and member["voter"]
    ]
    return found[0] if len(found) == 1 else None


async def test_a_frozen_leader_is_replaced_and_takes_nothing_back(system):
    await system.start_control(REGIONS)
    assert (await apply_drain(system, "r1"))[0] == 0
    frozen = system.leader().name
    await system.kill(frozen, signal.SIGSTOP)
    others = tuple(n.name for n in system.of_role("control"))
    others = tuple(name for name in others if name != frozen)
    started = trio.current_time()
    status, output = await apply_drain(system, "r2", at=others)
    assert status == 0, output
    assert trio.current_time() - started <= NEW_LEADER_S + COMMAND_START_S
    await system.kill(frozen, signal.SIGCONT)
    revision = system.status(system.leader(without=frozen))["revision"]
    await system.eventually(
        lambda: (
            (system.status(system.nodes[frozen]) or {}).get("revision", 0)
            >= revision
        ),
        NEW_LEADER_S,
        "the frozen replica catches up",
    )
    text = await shown(system, at=(frozen,))
    assert "[drain r1]" in text
    assert "[drain r2]" in text
