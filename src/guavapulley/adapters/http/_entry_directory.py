"""What control learns from entries on behalf of operators."""

from collections.abc import Sequence
import json
from typing import Any
from urllib import parse

import attrs
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters.http import _admin_codec
from guavapulley.adapters.http import _entry_api
from guavapulley.adapters.http import _errors

CALL_TIMEOUT_S = 1.0


class EntryDirectory:
    """Asks entries for what they know; nothing is kept between questions.

    Args:
        node: Name of this process.
        dialer: Makes clients for the peer ports of entries.
        seeds: Peer addresses of entries, tried in order.
        token: Operator token, for the HTTP ports of entries.
    """

    def __init__(
        self,
        node: str,
        dialer: ports.PeerDialer,
        seeds: Sequence[model.NodeAddress],
        token: str,
    ) -> None:
        self.node = node
        self.clients = [dialer.dial(seed) for seed in seeds]
        self.token = token

    async def aclose(self) -> None:
        """Closes the connections."""
        for client in self.clients:
            await client.aclose()

    async def entries(self) -> tuple[model.EntryRecord, ...]:
        """Returns the entries by name, as the first seed that answers knows.

        Raises:
            AdminError: No seed answered.
        """
        question = model.Gossip(self.node, (), ())
        for client in self.clients:
            try:
                reply = await client.call(question, CALL_TIMEOUT_S)
            except ports.PeerError:
                continue
            if isinstance(reply, model.GossipReply):
                return tuple(sorted(reply.entries, key=lambda e: e.name))
        raise _no_answer("no entry seed answered")

    async def upstreams(self) -> tuple[model.UpstreamRecord, ...]:
        """Returns the upstreams that the first entry that answers knows.

        Their ages are those at the time of the answer.

        Raises:
            AdminError: No entry answered.
        """
        for entry in await self.entries():
            body = await self._ask(entry, "/v1/status")
            if body is not None:
                return tuple(_records(body))
        raise _no_answer("no entry answered")

    async def explain(self, request_id: str) -> ports.Explanation | None:
        """Asks all entries at once what they remember of a request."""
        path = f"/v1/explain/{parse.quote(request_id, safe='')}"
        found: list[ports.Explanation] = []

        async def ask(entry: model.EntryRecord) -> None:
            body = await self._ask(entry, path)
            if body is not None:
                found.append(_explanation(body, entry))

        entries = await self.entries()
        async with trio.open_nursery() as nursery:
            for entry in entries:
                nursery.start_soon(ask, entry)
        return found[0] if found else None

    async def _ask(self, entry: model.EntryRecord, path: str) -> Any:
        """Returns the JSON answer of an entry, or None."""
        api = _entry_api.EntryApi([entry.address], self.token)
        try:
            return await api.call("GET", path)
        except (_entry_api.ApiError, json.JSONDecodeError):
            return None
        finally:
            api.close()


def _no_answer(message: str) -> ports.AdminError:
    return ports.AdminError(ports.READ_FAILED, message, not_run=True)


def _records(body: Any) -> list[model.UpstreamRecord]:
    try:
        known = _admin_codec.from_json(
            body["upstreams"], tuple[ports.KnownUpstream, ...]
        )
        now_s = float(body["now_s"])
    except (_errors.HttpError, KeyError, TypeError, ValueError) as error:
        raise _no_answer("an entry's answer is malformed") from error
    records = [
        attrs.evolve(item.record, age_s=now_s - item.renewed_at_s)
        for item in known
    ]
    return sorted(records, key=lambda record: (record.service, record.upstream))


def _explanation(
    body: dict[str, Any], entry: model.EntryRecord
) -> ports.Explanation:
    candidates = [
        ports.ExplainedUpstream(item["upstream"], score=item["score"])
        for item in body.get("candidates", ())
    ]
    exclusions = [
        ports.ExplainedUpstream(item["upstream"], item["reason"])
        for item in body.get("exclusions", ())
    ]
    candidates.sort(key=lambda item: item.score or 0.0)
    return ports.Explanation(
        body["request_id"],
        entry.name,
        body["service"],
        entry.revision,
        body.get("intent", ""),
        body.get("waited_s", 0.0),
        body.get("outcome", ""),
        (*candidates, *exclusions),
        tuple(
            ports.ExplainedAttempt(
                item["upstream"],
                item["kind"],
                item["duration_s"],
                item["outcome"],
            )
            for item in body.get("attempts", ())
        ),
    )
