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
HEAD = 1_024
FAR = model.UpstreamRecord(
    "u1", "stock", model.NodeAddress("127.0.0.1", 1), "za", "za-1", 3, 9
)


class Links:
    """Counts the bytes charged on each way."""

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
    def note_dispatch(self, upstream, succeeded):
        pass


def attempts(links, client, service, body=b"12345"):
    request = model.SteeredRequest("r", service.name, "GET", "/", body=body)
    dispatcher = serving.Dispatcher(client, Registry(), "pb", links)
    return dispatcher.attempts(request, service)


@pytest.mark.parametrize(
    ("faults", "sent", "received"),
    [
        ([], HEAD + 5, HEAD + len(b"done 12345")),
        (["refused"], 0, HEAD),
        (["lost"], HEAD + 5, HEAD),
        (["cut"], HEAD + 5, HEAD + 1),
    ],
)
async def test_true_sizes_replace_the_expected_ones(
    memory, autojump_clock, faults, sent, received
):
    links = Links()
    made = attempts(links, memory.MemoryUpstreams(faults), SHORT)
    try:
        await made.whole(FAR)
    except ports.UpstreamError:
        assert faults
    assert links.charged == {("pb", "za"): sent, ("za", "pb"): received}


async def test_answer_expected_at_a_cancelled_attempt_is_given_back(
    memory, autojump_clock
):
    links = Links()
    made = attempts(links, memory.MemoryUpstreams(["hang"]), SHORT)
    with trio.move_on_after(0.5):
        await made.whole(FAR)
    assert links.charged == {("pb", "za"): HEAD + 5, ("za", "pb"): HEAD}
    assert not made.not_run


async def test_bulk_answers_are_paced_as_they_are_read(memory, autojump_clock):
    links = Links()
    made = attempts(links, memory.MemoryUpstreams(), BULK)
    assert await made.streamed(FAR, memory.Reply()) is None
    assert links.charged["za", "pb"] == len(b"done 12345")
    assert links.paced == [True]


async def test_refused_link_certainly_did_not_run(memory, autojump_clock):
    upstreams = memory.MemoryUpstreams()
    made = attempts(Links(refuse=True), upstreams, SHORT)
    with pytest.raises(steering.SteeringError):
        await made.whole(FAR)
    assert made.not_run
    assert not upstreams.sent


async def test_upstreams_of_the_region_cost_no_share(memory, autojump_clock):
    links = Links(refuse=True)
    made = attempts(links, memory.MemoryUpstreams(), SHORT)
    await made.whole(memory.upstream())
    assert not any(links.charged.values())


class Control:
    def __init__(self):
        self.asked = []
        self.failing = False

    async def lease(self, request, timeout_s):
        self.asked.append((trio.current_time(), request))
        await trio.sleep(0.05)
        if self.failing:
            raise ports.PeerError(ports.CALL_TIMEOUT, "cut off")
        return model.LeaseShareReply((), 2.0)


class Leased:
    def __init__(self):
        self.applied = []

    def demands(self):
        return (model.ShareDemand("pb", "za", 1.0),)

    def apply_grants(self, reply, sent_at_s):
        self.applied.append(sent_at_s)


async def test_lease_counts_from_before_its_request(autojump_clock):
    # A lease counted from its reply would outlast the one of the leader.
    control, leased = Control(), Leased()
    with trio.move_on_after(5):
        await serving.renew_leases("e1", control, leased, ports.NullEventLog())
    assert leased.applied == [asked_at_s for asked_at_s, _ in control.asked]
    assert len(leased.applied) >= 5


async def test_failed_renewal_is_repeated(autojump_clock):
    control, leased = Control(), Leased()
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
