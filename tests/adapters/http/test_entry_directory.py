"""Guards against operators who see nothing because one entry is down."""

import functools

import pytest

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import http

DEAD = model.NodeAddress("127.0.0.1", 1)
RECORD = model.UpstreamRecord("u1", "s", DEAD, "pb", "pb-a", 3, 30)


class Seeds:
    """`ports.PeerDialer` of seeds, of which the first does not answer."""

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


class Entry:
    """Answers like an entry."""

    async def handle(self, request, reply):
        known = ports.KnownUpstream(RECORD, 10.0, 5.0)
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
            body = {"now_s": 12.5, "upstreams": [http.to_json(known)]}
        else:
            raise http.HttpError(http.NOT_FOUND, "nothing")
        await http.send_answer(reply, http.json_answer(body))


def entry(name, address):
    alive = model.EntryState.ALIVE
    return model.EntryRecord(name, "pb", "pb-a", address, DEAD, 1, 1, alive, 9)


@pytest.fixture
async def directory(nursery):
    server = await nursery.start(
        functools.partial(
            http.serve_http,
            model.NodeAddress("127.0.0.1", 0),
            Entry(),
            ports.NullEventLog(),
        )
    )
    seeds = Seeds((entry("b", server.address), entry("a", DEAD)))
    return http.EntryDirectory("control", seeds, [DEAD, DEAD], "token")


async def test_answers_come_from_an_entry_that_is_up(directory):
    assert [e.name for e in await directory.entries()] == ["a", "b"]
    (found,) = await directory.upstreams()
    assert (found.upstream, found.age_s) == ("u1", 2.5)
    explained = await directory.explain("r 1")
    assert (explained.entry, explained.revision) == ("b", 9)
    names = [item.upstream for item in explained.upstreams]
    assert names == ["u1", "u2", "u3"]
    assert await directory.explain("r2") is None


async def test_no_seed_is_a_failed_read():
    empty = http.EntryDirectory("control", Seeds(()), [], "token")
    with pytest.raises(ports.AdminError) as caught:
        await empty.explain("r1")
    assert caught.value.code == ports.READ_FAILED
