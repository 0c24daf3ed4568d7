"""Guards against bytes on a link that are not charged to its share."""

import pytest
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley import serving
from guavapulley import steering

SHORT = model.Service(
    "stock", model.TrafficClass.SHORT, expected_answer_bytes=5_000
)
BULK = model.Service("sync", model.TrafficClass.BULK)
HEAD_BYTES = 1_024
REMOTE_UPSTREAM = model.UpstreamRecord(
    "u1", "stock", model.NodeAddress("127.0.0.1", 1), "za", "za-1", 3, 9
)


class Links:
    """Counts the bytes charged in each direction."""

    def __init__(self, refuse=False):
        self.refuse = refuse
        self.charged = {("pb", "za"): 0, ("za", "pb"): 0}
        self.paced = []

    async def reserve(self, source, target, size, *, bulk=False):
        if self.refuse:
            raise steering.SteeringError(
                steering.LINK_CAP, "used up", not_run=True
            )
        self.charged[source, target] += size
        return (source, target, size)

    def settle(self, reservation, size):
        source, target, reserved = reservation
        self.charged[source, target] += size - reserved

    async def pace(self, source, target, size, *, bulk=False):
        self.charged[source, target] += size
        self.paced.append(bulk)


class Registry:
    def record_dispatch_result(self, upstream, succeeded):
        pass


def new_attempts(links, client, service, body=b"12345"):
    request = model.SteeredRequest("r", service.name, "GET", "/", body=body)
    dispatcher = serving.Dispatcher(client, Registry(), "pb", links)
    return dispatcher.new_attempts(request, service)


@pytest.mark.parametrize(
    ("faults", "sent", "received"),
    [
        ([], HEAD_BYTES + 5, HEAD_BYTES + len(b"done 12345")),
        (["refused"], 0, HEAD_BYTES),
        (["lost"], HEAD_BYTES + 5, HEAD_BYTES),
        (["cut"], HEAD_BYTES + 5, HEAD_BYTES + 1),
    ],
)
async def test_actual_sizes_replace_the_reserved_sizes(
    memory, autojump_clock, faults, sent, received
):
    links = Links()
    attempts = new_attempts(links, memory.MemoryUpstreams(faults), SHORT)
    try:
        await attempts.fetch_answer(REMOTE_UPSTREAM)
    except ports.UpstreamError:
        assert faults
    assert links.charged == {("pb", "za"): sent, ("za", "pb"): received}


async def test_cancelled_attempt_releases_its_answer_reservation(
    memory, autojump_clock
):
    links = Links()
    attempts = new_attempts(links, memory.MemoryUpstreams(["hang"]), SHORT)
    with trio.move_on_after(0.5):
        await attempts.fetch_answer(REMOTE_UPSTREAM)
    assert links.charged == {
        ("pb", "za"): HEAD_BYTES + 5,
        ("za", "pb"): HEAD_BYTES,
    }
    assert not attempts.not_run


async def test_bulk_answers_are_paced_as_they_are_read(memory, autojump_clock):
    links = Links()
    attempts = new_attempts(links, memory.MemoryUpstreams(), BULK)
    assert await attempts.stream_answer(REMOTE_UPSTREAM, memory.Reply()) is None
    assert links.charged["za", "pb"] == len(b"done 12345")
    assert links.paced == [True]


async def test_request_refused_by_its_link_share_did_not_run(
    memory, autojump_clock
):
    upstreams = memory.MemoryUpstreams()
    attempts = new_attempts(Links(refuse=True), upstreams, SHORT)
    with pytest.raises(steering.SteeringError):
        await attempts.fetch_answer(REMOTE_UPSTREAM)
    assert attempts.not_run
    assert not upstreams.sent


async def test_upstream_in_the_own_region_uses_no_link_share(
    memory, autojump_clock
):
    links = Links(refuse=True)
    attempts = new_attempts(links, memory.MemoryUpstreams(), SHORT)
    await attempts.fetch_answer(memory.upstream())
    assert not any(links.charged.values())


class Control:
    def __init__(self):
        self.requests = []
        self.failing = False

    async def lease_shares(self, request, timeout_s):
        self.requests.append((trio.current_time(), request))
        await trio.sleep(0.05)
        if self.failing:
            raise ports.PeerError(ports.CALL_TIMEOUT, "cut off")
        return model.LeaseShareReply((), 2.0)


class LeasedShares:
    def __init__(self):
        self.applied = []

    def demands(self):
        return (model.ShareDemand("pb", "za", 1.0),)

    def apply_grants(self, reply, sent_at_s):
        self.applied.append(sent_at_s)


async def test_lease_counts_from_the_time_of_its_request(autojump_clock):
    # A lease that counts from its reply would outlast the lease at the leader.
    control, leased = Control(), LeasedShares()
    with trio.move_on_after(5):
        await serving.renew_leases("e1", control, leased, ports.NullEventLog())
    assert leased.applied == [
        requested_at_s for requested_at_s, _ in control.requests
    ]
    assert len(leased.applied) >= 5


async def test_failed_renewal_is_retried(autojump_clock):
    control, leased = Control(), LeasedShares()
    control.failing = True
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            serving.renew_leases, "e1", control, leased, ports.NullEventLog()
        )
        await trio.sleep(2)
        assert not leased.applied
        control.failing = False
        await trio.sleep(1)
        nursery.cancel_scope.cancel()
    assert leased.applied
