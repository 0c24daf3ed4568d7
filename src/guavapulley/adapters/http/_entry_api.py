"""HTTP client of the entry API for upstreams, callers and control."""

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
    "API_FAILED", "An entry rejected a call or no entry could be reached."
)


class ApiError(errors.GuavapulleyError):
    """A call to an entry failed.

    If an entry rejected the call, `details` holds the HTTP status and the error
    code of the entry.
    """


class EntryApi:
    """Calls entries in turn until one can be reached.

    Args:
        entries: HTTP addresses of entries in the order of attempts.
        token: Bearer token; empty if none is required.
    """

    def __init__(
        self, entries: Sequence[model.NodeAddress], token: str = ""
    ) -> None:
        self.entries = list(entries)
        self.headers = {"Authorization": f"Bearer {token}"} if token else {}
        self.pool = urllib3.PoolManager(
            retries=False, timeout=API_TIMEOUT_S, maxsize=MAX_API_THREADS
        )
        self.limiter = trio.CapacityLimiter(MAX_API_THREADS)
        self.current_index = 0

    async def announce(self, record: model.UpstreamRecord) -> None:
        """Announces an upstream.

        Raises:
            ApiError: The entry rejected it, or none could be reached.
        """
        body = _entry_json.encode(record)
        await self.call("POST", _path(record.upstream), body)

    async def renew(
        self, record: model.UpstreamRecord, load: model.LoadReport
    ) -> None:
        """Renews the record of an upstream and reports its load.

        Raises:
            ApiError: The entry rejected it, none could be reached, or the
                upstream must be announced again.
        """
        body = {
            "incarnation": record.incarnation,
            "sequence": record.sequence,
            "load": _entry_json.encode(load),
        }
        await self.call("PUT", _path(record.upstream), body)

    async def leave(self, record: model.UpstreamRecord) -> None:
        """Reports that an upstream is leaving.

        Raises:
            ApiError: The entry rejected it, or none could be reached.
        """
        path = _path(record.upstream)
        query = f"?incarnation={record.incarnation}"
        await self.call("DELETE", f"{path}{query}")

    async def call(
        self, method: str, path: str, body: Any = None
    ) -> dict[str, Any]:
        """Calls the API and returns the JSON object of the reply.

        Raises:
            ApiError: The entry rejected the call, or none could be reached.
        """
        last_error: Exception | None = None
        for _ in self.entries:
            address = self.entries[self.current_index % len(self.entries)]
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
                last_error = error
                self.current_index += 1
        raise ApiError(
            API_FAILED, f"no entry could be reached: {last_error}"
        ) from last_error

    def close(self) -> None:
        """Closes the connections."""
        self.pool.clear()

    def _call(self, method: str, url: str, body: Any) -> dict[str, Any]:
        encoded = None if body is None else json.dumps(body).encode()
        response = self.pool.request(
            method, url, body=encoded, headers=self.headers
        )
        answer: dict[str, Any] = json.loads(response.data)
        if response.status >= 300:
            raise ApiError(
                API_FAILED,
                f"{url}: {answer.get('message')}",
                status=response.status,
                refusal=answer.get("code"),
            )
        return answer


def _path(upstream: str) -> str:
    return f"/v1/upstreams/{parse.quote(upstream, safe='')}"
