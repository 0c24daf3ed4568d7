"""Client of the administration API."""

from collections.abc import Callable
from collections.abc import Sequence
import itertools
import json
from typing import Any
from typing import Protocol
from typing import TypeVar
import urllib.parse

import trio
import urllib3

from guavapulley import errors
from guavapulley import model
from guavapulley import ports
from guavapulley.adapters.http import _admin_codec
from guavapulley.adapters.http import _errors

T = TypeVar("T")

ADMIN_UNREACHABLE = errors.register_code(
    "ADMIN_UNREACHABLE", "No control address answered an operator in time."
)
ADMIN_ANSWER_INVALID = errors.register_code(
    "ADMIN_ANSWER_INVALID", "An answer of the administration API is malformed."
)
CONNECT_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 10.0
# Pause after each address has been tried once.
ROUND_PAUSE_S = 0.5
SERVER_ERRORS = range(500, 600)
PREFIX = "/v1/admin/"


class AdminCallError(errors.GuavapulleyError):
    """The control role gave no answer, or refused.

    Attributes:
        not_run: Whether a change certainly has no effect, now or later.
    """

    def __init__(
        self, code: str, message: str, *, not_run: bool, **details: Any
    ) -> None:
        super().__init__(code, message, **details)
        self.not_run = not_run


class _Confirmable(Protocol):
    @property
    def confirmed(self) -> bool: ...


C = TypeVar("C", bound=_Confirmable)


class AdminClient:
    """Calls the administration API of the first replica that answers.

    A change is sent again, with its request ID, when its answer was lost; the
    first verdict is then returned.

    Args:
        addresses: HTTP addresses of control replicas, tried in this order.
        token: Operator token.
        timeout_s: Longest time for one call with all its attempts.
        progress: Receives a sentence about each failed attempt.
    """

    def __init__(
        self,
        addresses: Sequence[model.NodeAddress],
        token: str,
        timeout_s: float,
        progress: Callable[[str], None],
    ) -> None:
        self.addresses = tuple(addresses)
        self.token = token
        self.timeout_s = timeout_s
        self.progress = progress
        self.http = urllib3.PoolManager(
            retries=False, timeout=_timeout(READ_TIMEOUT_S)
        )

    async def configuration(self) -> ports.ConfigurationView:
        """Returns the current configuration, confirmed if any replica can."""
        return await self._confirmed("configuration", ports.ConfigurationView)

    async def change(self, change: model.Change) -> model.Verdict:
        """Sends a change until there is a verdict.

        Raises:
            AdminCallError: There is no verdict; `not_run` tells whether the
                change may still be accepted.
        """
        body = json.dumps(_admin_codec.to_json(change)).encode()
        answer = await self._call("POST", "changes", body)
        return _admin_codec.from_json(answer, model.Verdict)

    async def history(
        self, after: int, limit: int
    ) -> tuple[ports.AcceptedChange, ...]:
        """Returns the newest accepted changes, newest first."""
        return await self.get(
            f"history?after={after}&limit={limit}",
            tuple[ports.AcceptedChange, ...],
        )

    async def revision_status(
        self, revision: int | None
    ) -> ports.RevisionStatus:
        """Returns how far a revision is in force."""
        name = "current" if revision is None else str(revision)
        path = f"revisions/{name}"
        return await self._confirmed(path, ports.RevisionStatus)

    async def replicas(self) -> tuple[ports.ReplicaView, ...]:
        """Returns the control replicas."""
        return await self.get("replicas", tuple[ports.ReplicaView, ...])

    async def entries(self) -> tuple[model.EntryRecord, ...]:
        """Returns the entries."""
        return await self.get("entries", tuple[model.EntryRecord, ...])

    async def upstreams(self) -> tuple[model.UpstreamRecord, ...]:
        """Returns the upstreams."""
        return await self.get("upstreams", tuple[model.UpstreamRecord, ...])

    async def outcome(self, service: str, key: str) -> model.StoredOutcome:
        """Returns what is known of an idempotency key."""
        query = urllib.parse.urlencode({"service": service, "key": key})
        return await self.get(f"outcomes?{query}", model.StoredOutcome)

    async def explain(self, request_id: str) -> ports.Explanation:
        """Returns what an entry decided for a request."""
        name = urllib.parse.quote(request_id, safe="")
        return await self.get(f"requests/{name}", ports.Explanation)

    async def get(self, path: str, kind: type[T]) -> T:
        """Reads a value.

        Args:
            path: Path below the prefix of the API, with its query.
            kind: Type of the value.

        Raises:
            AdminCallError: No replica answered, or one refused.
        """
        answer = await self._call("GET", path, None)
        return _admin_codec.from_json(answer, kind)

    async def _confirmed(self, path: str, kind: type[C]) -> C:
        """Asks the replicas in turn until one has a majority's word.

        An isolated replica answers too, with what it knew before.
        """
        answer = await self.get(path, kind)
        for _ in self.addresses[1:]:
            if answer.confirmed:
                break
            self._prefer(self.addresses[1])
            answer = await self.get(path, kind)
        return answer

    def _prefer(self, address: model.NodeAddress) -> None:
        """Makes an address the first one to be tried."""
        index = self.addresses.index(address)
        self.addresses = self.addresses[index:] + self.addresses[:index]

    async def _call(self, method: str, path: str, body: bytes | None) -> Any:
        """Calls one address after another until there is an answer."""
        failure: AdminCallError | None = None
        may_have_run = under_way = False
        addresses = self.addresses
        with trio.move_on_after(self.timeout_s):
            for address in itertools.cycle(addresses):
                under_way = body is not None
                try:
                    answer = await self._attempt(address, method, path, body)
                    self._prefer(address)
                    return answer
                except _RetryableError as error:
                    under_way = False
                    failure = error
                    may_have_run |= not error.not_run
                    self.progress(f"{address}: {error.message}")
                if address == addresses[-1]:
                    await trio.sleep(ROUND_PAUSE_S)
        may_have_run |= under_way
        last = f": {failure.message}" if failure else ""
        code = failure.code if failure else ADMIN_UNREACHABLE
        raise AdminCallError(
            ports.CHANGE_UNKNOWN if may_have_run else code,
            f"no answer from {', '.join(map(str, addresses))}{last}",
            not_run=not may_have_run,
        )

    async def _attempt(
        self,
        address: model.NodeAddress,
        method: str,
        path: str,
        body: bytes | None,
    ) -> Any:
        url = f"http://{address}{PREFIX}{path}"
        status, data = await trio.to_thread.run_sync(
            self._send, method, url, body, abandon_on_cancel=True
        )
        answer = _parse(data, status, not_run=body is None)
        if status in (200, 409, 422) and "code" not in answer:
            return answer
        kind = _RetryableError if status in SERVER_ERRORS else AdminCallError
        raise kind(
            str(answer["code"]),
            str(answer["message"]),
            not_run=body is None or bool(answer["not_run"]),
            details=answer.get("details"),
        )

    def _send(
        self, method: str, url: str, body: bytes | None
    ) -> tuple[int, bytes]:
        headers = {"Authorization": f"Bearer {self.token}"}
        if body is not None:
            headers["Content-Type"] = "application/json"
        try:
            reply = self.http.request(method, url, body=body, headers=headers)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise _RetryableError(
                ADMIN_UNREACHABLE, "cannot be reached", not_run=True
            ) from error
        except urllib3.exceptions.HTTPError as error:
            raise _RetryableError(
                ADMIN_UNREACHABLE,
                "the answer was lost",
                not_run=body is None,
            ) from error
        return reply.status, reply.data


class _RetryableError(AdminCallError):
    """A failure after which another address may answer."""


def _timeout(read_s: float) -> urllib3.Timeout:
    return urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_s)


def _parse(data: bytes, status: int, *, not_run: bool) -> Any:
    try:
        answer = _admin_codec.parse_json(data)
        if status != 200 and "kind" not in answer:
            _ = answer["code"], answer["message"], answer["not_run"]
    except (_errors.HttpError, KeyError, TypeError) as error:
        raise _RetryableError(
            ADMIN_ANSWER_INVALID,
            f"the answer with status {status} is malformed",
            not_run=not_run,
        ) from error
    return answer
