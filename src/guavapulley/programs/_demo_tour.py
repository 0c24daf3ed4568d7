"""What the demonstration shows."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import uuid

import attrs
import trio
import urllib3

from guavapulley import errors
from guavapulley import model
from guavapulley.adapters import clock
from guavapulley.adapters import http
from guavapulley.adapters import settings
from guavapulley.programs import _exit
from guavapulley.programs import _simulated_upstream
from guavapulley.programs import _tables

STEERING = """\
[service line-status]
class = short
deadline_ms = 2000

[service batch-release]
class = once
deadline_ms = 10000

[service inspection-archive]
class = bulk
deadline_ms = 30000

[link pb za]
cap_mbit_per_s = 280

[link pb tn]
cap_mbit_per_s = 280

[link tn za]
cap_mbit_per_s = 280
"""
DRAIN = model.Drain("demo", "service = line-status, region = pb")
READS = 60
# Reads are spread over this many callers.
CALLERS = 6
STEP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.2
SLOTS_SETTLED_S = 3.0
# A drained upstream gets no new work after this time.
DRAINED_S = 3.0
CALL_TIMEOUT_S = 15.0
# Time for which a caller sends a refused read again.
PATIENCE_S = 5.0
# The request did not run.
REFUSED_STATUSES = frozenset({429, 503})

DEMO_FAILED = errors.register_code(
    "DEMO_FAILED", "A step of the demonstration did not succeed in time."
)


@attrs.frozen
class _Read:
    """A read with all its attempts."""

    status: int
    refusals: int
    duration_s: float


class Tour:
    """Uses a deployment as operators and callers do.

    Args:
        client: Client of the administration API.
        entry: HTTP address of an entry.
        upstreams: Simulated upstreams.
        tell: Receives lines for a person.
    """

    def __init__(
        self,
        client: http.AdminClient,
        entry: model.NodeAddress,
        upstreams: Sequence[_simulated_upstream.SimulatedUpstream],
        tell: Callable[[str], None],
    ) -> None:
        self.client = client
        self.entry = entry
        self.upstreams = upstreams
        self.tell = tell
        self.http = urllib3.PoolManager(
            retries=False, timeout=CALL_TIMEOUT_S, maxsize=CALLERS
        )
        self.callers = trio.Semaphore(CALLERS)
        self.limiter = trio.CapacityLimiter(CALLERS)

    async def run(self) -> None:
        """Shows each step.

        Raises:
            CommandError: A step did not succeed in time.
        """
        revision = await self._change(settings.parse_steering(STEERING), ())
        self.tell(f"The steering file is accepted as revision {revision}.")
        await self._until("in force", lambda: self._in_force(revision))
        await self._until("upstreams", self._announced)
        self.tell(f"{len(self.upstreams)} upstreams announced themselves.")
        # Until then an entry serves one request at a time in its region, and
        # has no settled slots that a drain could hand over.
        await trio.sleep(SLOTS_SETTLED_S)
        await self._read("Status reads from pb were served in")
        revision = await self._change((DRAIN,), ())
        await self._until("in force", lambda: self._in_force(revision))
        self.tell(f"Revision {revision} drains the upstreams of pb.")
        await self._read("Status reads right after it were served in")
        await trio.sleep(DRAINED_S)
        await self._read("Status reads 3 s later were served in")
        revision = await self._change((), (model.object_key(DRAIN),))
        self.tell(f"Revision {revision} ends the drain.")
        await self._order()
        status = await self._send("GET", "/s/inspection-archive/1")
        self.tell(f"An archive look-up was answered with status {status}.")

    async def _change(
        self,
        puts: tuple[model.ConfigurationObject, ...],
        deletes: tuple[model.ObjectKey, ...],
    ) -> int:
        with trio.move_on_after(STEP_TIMEOUT_S):
            while True:
                view = await self.client.configuration()
                change = model.Change(
                    str(uuid.uuid4()),
                    view.configuration.revision,
                    "demo",
                    puts,
                    deletes,
                )
                verdict = await self.client.change(change)
                if verdict.kind is model.VerdictKind.ACCEPTED:
                    return verdict.revision
                await trio.sleep(POLL_INTERVAL_S)
        raise _failed("no change was accepted")

    async def _until(
        self, what: str, done: Callable[[], Awaitable[bool]]
    ) -> None:
        with trio.move_on_after(STEP_TIMEOUT_S):
            while True:
                if await done():
                    return
                await trio.sleep(POLL_INTERVAL_S)
        raise _failed(f"timed out waiting for: {what}")

    async def _in_force(self, revision: int) -> bool:
        found = await self.client.revision_status(revision)
        entries = found.entries
        return bool(entries) and all(e.behind_s is None for e in entries)

    async def _announced(self) -> bool:
        try:
            found = await self.client.upstreams()
        except http.AdminCallError:
            return False
        return len(found) == len(self.upstreams)

    async def _read(self, title: str) -> None:
        before = {simulated: simulated.served for simulated in self.upstreams}
        reads: list[_Read] = []

        async def call() -> None:
            async with self.callers:
                reads.append(await self._read_once())

        async with trio.open_nursery() as nursery:
            for _ in range(READS):
                nursery.start_soon(call)
        served: dict[str, int] = {}
        for simulated, count in before.items():
            region = simulated.record.region
            served[region] = served.get(region, 0) + simulated.served - count
        found = ", ".join(f"{name}: {n}" for name, n in served.items() if n)
        failed = sum(read.status != 200 for read in reads)
        refused = sum(read.refusals > 0 for read in reads)
        slowest_s = max(read.duration_s for read in reads)
        self.tell(f"{title} {found}; {failed} of {READS} failed.")
        self.tell(
            f"  {refused} were refused as not run at first and sent again; the"
            f" slowest took {slowest_s:.2f} s."
        )

    async def _read_once(self) -> "_Read":
        """Reads as a caller does: a refusal that is not run is sent again."""
        started_s = trio.current_time()
        refusals = 0
        while True:
            status = await self._send("GET", "/s/line-status/baths")
            duration_s = trio.current_time() - started_s
            if status not in REFUSED_STATUSES or duration_s > PATIENCE_S:
                return _Read(status, refusals, duration_s)
            refusals += 1
            await trio.sleep(POLL_INTERVAL_S)

    async def _order(self) -> None:
        key = str(uuid.uuid4())
        headers = {
            "Guavapulley-Idempotency-Key": key,
            "Guavapulley-Key-Created": str(clock.unix_time_s()),
        }
        statuses = [
            await self._send("POST", "/s/batch-release/batches", headers)
            for _ in range(2)
        ]
        runs = sum(simulated.executions[key] for simulated in self.upstreams)
        self.tell(
            f"An order was sent twice with one key: status {statuses[0]}, then"
            f" {statuses[1]}; it ran {_tables.count(runs, 'time')}."
        )

    async def _send(
        self, method: str, path: str, headers: dict[str, str] | None = None
    ) -> int:
        def send() -> int:
            reply = self.http.request(
                method, f"http://{self.entry}{path}", headers=headers
            )
            return reply.status

        return await trio.to_thread.run_sync(send, limiter=self.limiter)


def _failed(message: str) -> _exit.CommandError:
    return _exit.CommandError(DEMO_FAILED, message, _exit.Exit.ERROR)
