"""A machine loses its disk again while it joins; see claim.txt."""

import asyncio
import json
import pathlib
import shutil
import signal
import sys
import time

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-3")
)
import standins  # noqa: E402

# The read-back begins `recovery_s` after all machines are back, and goes on for
# three times `contact_s`.
RECOVERY_S = 15.0
CONTACT_S = 4.0
CATCH_UP_S = 4.0
DOWN_S = 1.0
ATTEMPTS = 6
JOIN_TIMEOUT_S = 12.0
POLL_S = 0.0005


class LogTail:
    """Reads the events that a node appends to its log."""

    def __init__(self, node):
        self.file = (node.folder / f"{node.name}.log").open("rb")
        self.file.seek(0, 2)
        self.rest = b""

    def events(self):
        """Yields the events since the last call."""
        lines = (self.rest + self.file.read()).split(b"\n")
        self.rest = lines.pop()
        for line in lines:
            try:
                yield json.loads(line)
            except ValueError:
                continue


def find_leader(deployment):
    """Returns the core node that was elected in the newest term."""
    newest = (0, None)
    for node in deployment.cores:
        for line in (
            (node.folder / f"{node.name}.log").read_bytes().splitlines()
        ):
            if b"replica:leader_elected" in line:
                newest = max(newest, (json.loads(line)["term"], node.name))
    return next(n for n in deployment.cores if n.name == newest[1])


def lose_disk(deployment, record, node):
    """Cuts the power of a machine, whose disk is then empty."""
    node.signal(signal.SIGKILL)
    node.process.wait()
    shutil.rmtree(deployment.folder / node.name, ignore_errors=True)
    record.write("disk lost", node=node.name)


async def read_version(deployment, record, timeout_s):
    """Returns the version that some core node reads, or None."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        for node in deployment.cores:
            try:
                answer = await asyncio.wait_for(
                    standins.call(
                        node.ip, standins.CONTROL, "GET", "/Config.Read"
                    ),
                    1.0,
                )
            except standins.CALL_ERRORS as error:
                record.write("read", node=node.name, failed=repr(error))
                continue
            record.write("read", node=node.name, status=answer.status)
            if answer.status == 200:
                return json.loads(answer.body)["version"]
        await asyncio.sleep(0.2)
    return None


async def wait_promoted(tail, node):
    """Waits until the leader makes the joining machine a voter."""
    deadline_s = time.monotonic() + JOIN_TIMEOUT_S
    while time.monotonic() < deadline_s:
        for event in tail.events():
            if (
                event.get("message_type") == "replica:members_changed"
                and event["voters"].count(node.name) == 2
            ):
                return True
        await asyncio.sleep(POLL_S)
    return False


async def lose_disk_twice(deployment, record):
    """Returns whether both losses took place."""
    leader = find_leader(deployment)
    victim = next(n for n in reversed(deployment.cores) if n is not leader)
    deployment.write_settings(victim, bootstrap=False)
    tail = LogTail(leader)
    lose_disk(deployment, record, victim)
    await asyncio.sleep(DOWN_S)
    victim.start()
    if not await wait_promoted(tail, victim):
        return False
    lose_disk(deployment, record, victim)
    await asyncio.sleep(DOWN_S)
    victim.start()
    record.write("back", node=victim.name)
    return True


async def case(record):
    """Plays the case and returns the verdict."""
    deployment = standins.Deployment(record, edges=1)
    try:
        deployment.start()
        read = standins.route("read", "/read/", "linka-stav")
        first = standins.configuration(
            1, 0, read, standins.service("linka-stav")
        )
        await deployment.order("POST", "/Config.Replace", first)
        await asyncio.sleep(2)
        for attempt in range(ATTEMPTS):
            record.write("attempt", number=attempt + 1)
            if standins.TROUBLE and not await lose_disk_twice(
                deployment, record
            ):
                record.write("no second loss")
            version = await read_version(deployment, record, CONTACT_S)
            if version != 1:
                break
            await asyncio.sleep(CATCH_UP_S)
        else:
            return standins.HELD
        record.write("no answer", then=f"waits for {RECOVERY_S} s")
        await asyncio.sleep(RECOVERY_S)
        running = [node.name for node in deployment.nodes if node.running()]
        record.write("running", nodes=",".join(running))
        version = await read_version(deployment, record, 3 * CONTACT_S)
        record.write("read back", version=version, acknowledged=1)
        return standins.HELD if version == 1 else standins.BROKEN
    finally:
        deployment.stop()


standins.run_case(pathlib.Path(__file__).resolve().parent, case)
