"""Client of the entry API, as upstreams and callers use it."""

from collections.abc import Sequence
import json
from typing import Any
from urllib import parse

import trio
import urllib3

from guavapulley import errors
from guavapulley import model
from guavapulley.adapters.http import _entry_json

API_TIMEOUT_S = 1.0
MAX_API_THREADS = 4
API_FAILED = errors.register_code(
    "API_FAILED", "An entry refused a call or could not be reached."
)


class ApiError(errors.GuavapulleyError):
    """A call to an entry failed; `details` holds the status and the code."""


class EntryApi:
    """Calls one entry after the other until one can be reached.

    Args:
        entries: HTTP addresses of entries.
        token: Bearer token; empty when none is needed.
    """

    def __init__(
        self, entries: Sequence[model.NodeAddress], token: str = ""
    ) -> None:
        self.entries = list(entries)
        self.headers = {"Authorization": f"Bearer {token}"} if token else {}
        self.http = urllib3.PoolManager(
            retries=False, timeout=API_TIMEOUT_S, maxsize=MAX_API_THREADS
        )
        self.limiter = trio.CapacityLimiter(MAX_API_THREADS)
        self.current = 0

    async def announce(self, record: model.UpstreamRecord) -> None:
        """Announces an upstream.

        Raises:
            ApiError: No entry took it.
        """
        body = _entry_json.encode(record)
        await self.call("POST", _path(record.upstream), body)

    async def renew(
        self, record: model.UpstreamRecord, load: model.LoadReport
    ) -> None:
        """Renews an upstream with its load.

        Raises:
            ApiError: No entry took it, or it has to announce itself again.
        """
        body = {
            "incarnation": record.incarnation,
            "sequence": record.sequence,
            "load": _entry_json.encode(load),
        }
        await self.call("PUT", _path(record.upstream), body)

    async def leave(self, record: model.UpstreamRecord) -> None:
        """Tells that an upstream is leaving.

        Raises:
            ApiError: No entry took it.
        """
        path = _path(record.upstream)
        query = f"?incarnation={record.incarnation}"
        await self.call("DELETE", f"{path}{query}")

    async def call(
        self, method: str, path: str, body: Any = None
    ) -> dict[str, Any]:
        """Calls the API and returns the JSON reply.

        Raises:
            ApiError: The entry refused, or none could be reached.
        """
        reason: Exception | None = None
        for _ in self.entries:
            address = self.entries[self.current % len(self.entries)]
            try:
                return await trio.to_thread.run_sync(
                    self._call,
                    method,
                    f"http://{address}{path}",
                    body,
                    limiter=self.limiter,
                    abandon_on_cancel=True,
                )
            except urllib3.exceptions.HTTPError as error:
                reason = error
                self.current += 1
        raise ApiError(
            API_FAILED, f"no entry could be reached: {reason}"
        ) from reason

    def close(self) -> None:
        """Closes the connections."""
        self.http.clear()

    def _call(self, method: str, url: str, body: Any) -> dict[str, Any]:
        data = None if body is None else json.dumps(body).encode()
        reply = self.http.request(method, url, body=data, headers=self.headers)
        found: dict[str, Any] = json.loads(reply.data)
        if reply.status >= 300:
            raise ApiError(
                API_FAILED,
                f"{url}: {found.get('message')}",
                status=reply.status,
                refusal=found.get("code"),
            )
        return found


def _path(upstream: str) -> str:
    return f"/v1/upstreams/{parse.quote(upstream, safe='')}"
