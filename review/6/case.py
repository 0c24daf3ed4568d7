"""A server fails some of its orders with 503 after it has run them.

See claim.txt.
"""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-2")
)
import harness  # noqa: E402

SERVERS = 7  # one of them is a share of 0.14, as in the site file
GREY_S = 6.5  # `for_s` of `srv_grey` in the site file
GREY_FRACTION = 0.45  # its `x`
ORDERS_PER_S = 30
WORK_S = 0.3


class GreyServer(harness.Server):
    """Fails a fraction of its orders while its health check is good.

    Attributes:
        grey_until_s: Time until which it does so.
        failed: Request IDs of the orders that it ran and failed.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.grey_until_s = 0.0
        self.failed = []

    async def handle(self, request, reader, writer):
        """Answers one request."""
        _, path, headers, _ = request
        if (
            path == "/health"
            or time.monotonic() > self.grey_until_s
            or random.random() > GREY_FRACTION
            or headers.get("expect-instance") != self.ident
        ):
            await super().handle(request, reader, writer)
            return
        ident = headers["request-id"]
        self.runs.append(ident)
        self.record.write(f"server {self.ident} runs {ident}, and fails it")
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        self.failed.append(ident)
        # Without Not-Executed: the order has run.
        writer.write(
            self.answer(
                503,
                headers,
                b"the order was entered, its confirmation failed",
                [("Response-Signature", ident)],
            )
        )


async def run(record, trouble):
    """Plays the case; returns whether the rule was broken."""
    deployment = harness.Deployment(cores=3, edges=2)
    tasks = []
    try:
        servers = [
            GreyServer(f"i-{i}", "orders", record, work_s=WORK_S)
            for i in range(SERVERS)
        ]
        for server in servers:
            await server.start()
        deployment.start()
        await deployment.order(
            "/Config.Replace",
            harness.configuration(
                1,
                0,
                harness.route(
                    "o", "a.example", "/o/", "orders", kind="non_idempotent"
                ),
                harness.service("orders"),
            ),
            record,
        )
        tasks += [
            asyncio.create_task(server.beat(deployment)) for server in servers
        ]
        for edge in deployment.edges:
            await harness.wait_ready(edge)
        await asyncio.sleep(5.0)

        answers = {}

        async def attempt(edge, ident):
            try:
                status, _, _ = await harness.call(
                    edge.ip,
                    harness.FRONTEND,
                    "POST",
                    "/o/1",
                    headers=(
                        ("Host", "a.example"),
                        ("Request-Id", ident),
                        ("Deadline-Ms", "4000"),
                    ),
                    raw=b"one order",
                    timeout_s=4.5,
                )
            except (TimeoutError, *harness.CALL_ERRORS) as error:
                status = repr(error)
            answers[ident] = status
            record.write(f"client got {status} for {ident} at {edge.name}")
            return status

        async def order(number):
            """Sends an order, and once more if it was promised not to run."""
            edges = deployment.edges
            first = edges[number % len(edges)]
            status = await attempt(first, f"order{number}-1")
            if status in (408, 421, 429, 503):
                await asyncio.sleep(0.2)
                second = edges[(number + 1) % len(edges)]
                await attempt(second, f"order{number}-2")

        if trouble:
            record.write(f"{servers[0].ident} begins to fail orders")
            servers[0].grey_until_s = time.monotonic() + GREY_S
        orders = []
        for number in range(int(GREY_S * ORDERS_PER_S)):
            orders.append(asyncio.create_task(order(number)))
            await asyncio.sleep(1 / ORDERS_PER_S)
        await asyncio.gather(*orders)
        ran = {ident for server in servers for ident in server.runs}
        refused = [
            ident
            for ident, status in answers.items()
            if status in (408, 421, 429, 503) and ident in ran
        ]
        twice = [
            ident
            for ident in refused
            if ident.endswith("-1") and f"{ident[:-2]}-2" in ran
        ]
        record.write(
            f"{len(refused)} orders were answered with a promise that they did"
            f" not run, and had run; {len(twice)} of them were sent again and"
            " ran again"
        )
        return bool(refused)
    finally:
        for task in tasks:
            task.cancel()
        deployment.close()


harness.main(run)
