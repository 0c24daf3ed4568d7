"""Queries to entries that control makes on behalf of operators."""

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
    """Reads the state of entries; keeps no state between calls.

    Args:
        node: Name of this process.
        dialer: Creates clients for the peer ports of entries.
        seeds: Peer addresses of entries in the order of attempts.
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
        """Returns the entries known to the first seed that answers, by name.

        Raises:
            AdminError: No seed answered.
        """
        request = model.Gossip(self.node, (), ())
        for client in self.clients:
            try:
                reply = await client.call(request, CALL_TIMEOUT_S)
            except ports.PeerError:
                continue
            if isinstance(reply, model.GossipReply):
                return tuple(sorted(reply.entries, key=lambda e: e.name))
        raise _read_error("no entry seed answered")

    async def upstreams(self) -> tuple[model.UpstreamRecord, ...]:
        """Returns the upstreams known to the first entry that answers.

        Their `age_s` is that at the time of the answer.

        Raises:
            AdminError: No entry answered.
        """
        for entry in await self.entries():
            body = await self._get_json(entry, "/v1/status")
            if body is not None:
                return tuple(_records(body))
        raise _read_error("no entry answered")

    async def explain(self, request_id: str) -> ports.Explanation | None:
        """Returns the explanation of a request, or None if no entry has one.

        All entries are asked concurrently.

        Raises:
            AdminError: No seed answered.
        """
        path = f"/v1/explain/{parse.quote(request_id, safe='')}"
        explanations: list[ports.Explanation] = []

        async def collect(entry: model.EntryRecord) -> None:
            body = await self._get_json(entry, path)
            if body is not None:
                explanations.append(_explanation(body, entry))

        entries = await self.entries()
        async with trio.open_nursery() as nursery:
            for entry in entries:
                nursery.start_soon(collect, entry)
        return explanations[0] if explanations else None

    async def _get_json(self, entry: model.EntryRecord, path: str) -> Any:
        """Returns the JSON answer of an entry, or None if the call failed."""
        api = _entry_api.EntryApi([entry.address], self.token)
        try:
            return await api.call("GET", path)
        except (_entry_api.ApiError, json.JSONDecodeError):
            return None
        finally:
            api.close()


def _read_error(message: str) -> ports.AdminError:
    return ports.AdminError(ports.READ_FAILED, message, not_run=True)


def _records(body: Any) -> list[model.UpstreamRecord]:
    try:
        observations = _admin_codec.from_json(
            body["upstreams"], tuple[ports.UpstreamObservation, ...]
        )
        now_s = float(body["now_s"])
    except (_errors.HttpError, KeyError, TypeError, ValueError) as error:
        raise _read_error("an entry's answer is malformed") from error
    records = [
        attrs.evolve(observation.record, age_s=now_s - observation.renewed_at_s)
        for observation in observations
    ]
    return sorted(records, key=lambda record: (record.service, record.upstream))


def _explanation(
    body: dict[str, Any], entry: model.EntryRecord
) -> ports.Explanation:
    candidates = [
        ports.ExplainedUpstream(upstream["upstream"], score=upstream["score"])
        for upstream in body.get("candidates", ())
    ]
    exclusions = [
        ports.ExplainedUpstream(upstream["upstream"], upstream["reason"])
        for upstream in body.get("exclusions", ())
    ]
    candidates.sort(key=lambda upstream: upstream.score or 0.0)
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
                attempt["upstream"],
                attempt["kind"],
                attempt["duration_s"],
                attempt["outcome"],
            )
            for attempt in body.get("attempts", ())
        ),
    )
