"""Guards against failed reads of operators when one entry is down."""

import functools

import pytest

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import http

UNREACHABLE = model.NodeAddress("127.0.0.1", 1)
RECORD = model.UpstreamRecord("u1", "s", UNREACHABLE, "pb", "pb-a", 3, 30)


class SeedDialer:
    """`ports.PeerDialer` whose first call is not answered."""

    def __init__(self, entries):
        self.entries = entries
        self.calls = 0

    def dial(self, address):
        return self

    async def call(self, request, timeout_s):
        self.calls += 1
        if self.calls == 1:
            raise ports.PeerError(ports.CALL_TIMEOUT, "down")
        return model.GossipReply(self.entries, ())

    async def aclose(self):
        pass


class FakeEntry:
    """Answers status and explanation like an entry."""

    async def handle(self, request, reply):
        observation = ports.UpstreamObservation(RECORD, 10.0, 5.0)
        if request.path == "/v1/explain/r 1":
            body = {
                "request_id": "r 1",
                "service": "s",
                "candidates": [
                    {"upstream": "u2", "score": 2.0, "borrowed": False},
                    {"upstream": "u1", "score": 1.0, "borrowed": False},
                ],
                "exclusions": [{"upstream": "u3", "reason": "slots"}],
                "attempts": [],
                "outcome": "answered",
            }
        elif request.path == "/v1/status":
            body = {"now_s": 12.5, "upstreams": [http.to_json(observation)]}
        else:
            raise http.HttpError(http.NOT_FOUND, "nothing")
        await http.send_answer(reply, http.json_answer(body))


def entry_record(name, address):
    alive = model.EntryState.ALIVE
    return model.EntryRecord(
        name, "pb", "pb-a", address, UNREACHABLE, 1, 1, alive, 9
    )


@pytest.fixture
async def directory(nursery):
    server = await nursery.start(
        functools.partial(
            http.serve_http,
            model.NodeAddress("127.0.0.1", 0),
            FakeEntry(),
            ports.NullEventLog(),
        )
    )
    seeds = SeedDialer(
        (entry_record("b", server.address), entry_record("a", UNREACHABLE))
    )
    return http.EntryDirectory(
        "control", seeds, [UNREACHABLE, UNREACHABLE], "token"
    )


async def test_answers_come_from_an_entry_that_is_up(directory):
    assert [record.name for record in await directory.entries()] == ["a", "b"]
    (upstream,) = await directory.upstreams()
    assert (upstream.upstream, upstream.age_s) == ("u1", 2.5)
    explanation = await directory.explain("r 1")
    assert (explanation.entry, explanation.revision) == ("b", 9)
    names = [upstream.upstream for upstream in explanation.upstreams]
    assert names == ["u1", "u2", "u3"]
    assert await directory.explain("r2") is None


async def test_read_fails_without_seeds():
    directory = http.EntryDirectory("control", SeedDialer(()), [], "token")
    with pytest.raises(ports.AdminError) as raised:
        await directory.explain("r1")
    assert raised.value.code == ports.READ_FAILED
