"""The steps of the demonstration."""

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
READ_COUNT = 60
# Maximum number of concurrent requests.
CALLER_COUNT = 6
STEP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.2
# Time after which every entry has slots of the upstreams.
SLOT_ALLOCATION_DELAY_S = 3.0
# Time after which a drained upstream gets no new requests.
DRAIN_DELAY_S = 3.0
CALL_TIMEOUT_S = 15.0
# Time for which a caller retries a refused read.
READ_RETRY_TIMEOUT_S = 5.0
# Statuses of requests that did not run.
REFUSED_STATUSES = frozenset({429, 503})

DEMO_FAILED = errors.register_code(
    "DEMO_FAILED", "A step of the demonstration did not succeed in time."
)


@attrs.frozen
class _ReadResult:
    """Result of a read after all its attempts."""

    status: int
    refusals: int
    duration_s: float


class DemoScenario:
    """Steps that use a deployment as operators and callers do.

    Args:
        client: Client of the administration API.
        entry: HTTP address of an entry.
        upstreams: Simulated upstreams.
        print_line: Prints a line of text.
    """

    def __init__(
        self,
        client: http.AdminClient,
        entry: model.NodeAddress,
        upstreams: Sequence[_simulated_upstream.SimulatedUpstream],
        print_line: Callable[[str], None],
    ) -> None:
        self.client = client
        self.entry = entry
        self.upstreams = upstreams
        self.print_line = print_line
        self.http_pool = urllib3.PoolManager(
            retries=False, timeout=CALL_TIMEOUT_S, maxsize=CALLER_COUNT
        )
        self.caller_semaphore = trio.Semaphore(CALLER_COUNT)
        self.thread_limiter = trio.CapacityLimiter(CALLER_COUNT)

    async def run(self) -> None:
        """Runs the steps and prints their results.

        Raises:
            CommandError: A step did not succeed before its timeout.
        """
        revision = await self._submit_change(
            settings.parse_steering(STEERING), ()
        )
        self.print_line(
            f"The steering file is accepted as revision {revision}."
        )
        await self._wait_until("in force", lambda: self._is_in_force(revision))
        await self._wait_until("upstreams", self._have_all_announced)
        self.print_line(
            f"{len(self.upstreams)} upstreams announced themselves."
        )
        # Before slots are allocated, an entry serves one request at a time in
        # its region and has no slots that a drain could hand over.
        await trio.sleep(SLOT_ALLOCATION_DELAY_S)
        await self._read_and_report("Status reads from pb were served in")
        revision = await self._submit_change((DRAIN,), ())
        await self._wait_until("in force", lambda: self._is_in_force(revision))
        self.print_line(f"Revision {revision} drains the upstreams of pb.")
        await self._read_and_report(
            "Status reads right after it were served in"
        )
        await trio.sleep(DRAIN_DELAY_S)
        await self._read_and_report("Status reads 3 s later were served in")
        revision = await self._submit_change((), (model.object_key(DRAIN),))
        self.print_line(f"Revision {revision} ends the drain.")
        await self._send_order_twice()
        status = await self._send("GET", "/s/inspection-archive/1")
        self.print_line(f"An archive lookup was answered with status {status}.")

    async def _submit_change(
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
                verdict = await self.client.propose_change(change)
                if verdict.kind is model.VerdictKind.ACCEPTED:
                    return verdict.revision
                await trio.sleep(POLL_INTERVAL_S)
        raise _step_error("no change was accepted")

    async def _wait_until(
        self, condition_name: str, condition: Callable[[], Awaitable[bool]]
    ) -> None:
        with trio.move_on_after(STEP_TIMEOUT_S):
            while True:
                if await condition():
                    return
                await trio.sleep(POLL_INTERVAL_S)
        raise _step_error(f"timed out waiting for: {condition_name}")

    async def _is_in_force(self, revision: int) -> bool:
        revision_status = await self.client.revision_status(revision)
        entries = revision_status.entries
        return bool(entries) and all(
            entry.behind_s is None for entry in entries
        )

    async def _have_all_announced(self) -> bool:
        try:
            records = await self.client.upstreams()
        except http.AdminCallError:
            return False
        return len(records) == len(self.upstreams)

    async def _read_and_report(self, title: str) -> None:
        served_before = {
            upstream: upstream.served for upstream in self.upstreams
        }
        results: list[_ReadResult] = []

        async def read() -> None:
            async with self.caller_semaphore:
                results.append(await self._read_with_retries())

        async with trio.open_nursery() as nursery:
            for _ in range(READ_COUNT):
                nursery.start_soon(read)
        served: dict[str, int] = {}
        for upstream, count in served_before.items():
            region = upstream.record.region
            served[region] = served.get(region, 0) + upstream.served - count
        counts_text = ", ".join(
            f"{name}: {served_count}"
            for name, served_count in served.items()
            if served_count
        )
        failed = sum(result.status != 200 for result in results)
        refused = sum(result.refusals > 0 for result in results)
        slowest_s = max(result.duration_s for result in results)
        self.print_line(
            f"{title} {counts_text}; {failed} of {READ_COUNT} failed."
        )
        self.print_line(
            f"  {refused} were refused as not run at first and retried; the"
            f" slowest took {slowest_s:.2f} s."
        )

    async def _read_with_retries(self) -> "_ReadResult":
        """Sends a read again while it is refused without having run."""
        started_s = trio.current_time()
        refusals = 0
        while True:
            status = await self._send("GET", "/s/line-status/baths")
            duration_s = trio.current_time() - started_s
            if (
                status not in REFUSED_STATUSES
                or duration_s > READ_RETRY_TIMEOUT_S
            ):
                return _ReadResult(status, refusals, duration_s)
            refusals += 1
            await trio.sleep(POLL_INTERVAL_S)

    async def _send_order_twice(self) -> None:
        key = str(uuid.uuid4())
        headers = {
            "Guavapulley-Idempotency-Key": key,
            "Guavapulley-Key-Created": str(clock.unix_time_s()),
        }
        statuses = [
            await self._send("POST", "/s/batch-release/batches", headers)
            for _ in range(2)
        ]
        runs = sum(upstream.executions[key] for upstream in self.upstreams)
        self.print_line(
            f"An order was sent twice with one key: status {statuses[0]}, then"
            f" {statuses[1]}; it ran {_tables.format_count(runs, 'time')}."
        )

    async def _send(
        self, method: str, path: str, headers: dict[str, str] | None = None
    ) -> int:
        def send() -> int:
            reply = self.http_pool.request(
                method, f"http://{self.entry}{path}", headers=headers
            )
            return reply.status

        return await trio.to_thread.run_sync(send, limiter=self.thread_limiter)


def _step_error(message: str) -> _exit.CommandError:
    return _exit.CommandError(DEMO_FAILED, message, _exit.ExitCode.ERROR)
