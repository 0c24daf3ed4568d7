"""HTTP client of the administration API."""

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
# Pause after all addresses have been tried once.
ROUND_PAUSE_S = 0.5
SERVER_ERRORS = range(500, 600)
PREFIX = "/v1/admin/"


class AdminCallError(errors.GuavapulleyError):
    """No control replica answered, or one rejected the call.

    Attributes:
        not_run: Whether it is certain that the change has no effect, now or
            later.
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

    When the answer to a change is lost, the change is sent again with the same
    request ID, and control returns its first verdict.

    Args:
        addresses: HTTP addresses of control replicas in the order of attempts.
        token: Operator token.
        timeout_s: Limit on the duration of a call with all its attempts.
        report_progress: Called with a message about each failed attempt.
    """

    def __init__(
        self,
        addresses: Sequence[model.NodeAddress],
        token: str,
        timeout_s: float,
        report_progress: Callable[[str], None],
    ) -> None:
        self.addresses = tuple(addresses)
        self.token = token
        self.timeout_s = timeout_s
        self.report_progress = report_progress
        self.pool = urllib3.PoolManager(
            retries=False, timeout=_request_timeout(READ_TIMEOUT_S)
        )

    async def configuration(self) -> ports.ConfigurationView:
        """Returns the current configuration.

        It is confirmed by a majority if any replica can have it confirmed.
        """
        return await self._get_confirmed(
            "configuration", ports.ConfigurationView
        )

    async def propose_change(self, change: model.Change) -> model.Verdict:
        """Sends a change until a verdict arrives.

        Raises:
            AdminCallError: No verdict arrived. Unless `not_run` is set, the
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
        """Returns which entries use a revision."""
        name = "current" if revision is None else str(revision)
        path = f"revisions/{name}"
        return await self._get_confirmed(path, ports.RevisionStatus)

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
        """Returns the stored outcome of an idempotency key."""
        query = urllib.parse.urlencode({"service": service, "key": key})
        return await self.get(f"outcomes?{query}", model.StoredOutcome)

    async def explain(self, request_id: str) -> ports.Explanation:
        """Returns how an entry steered a request."""
        name = urllib.parse.quote(request_id, safe="")
        return await self.get(f"requests/{name}", ports.Explanation)

    async def get(self, path: str, value_type: type[T]) -> T:
        """Sends a GET request and decodes the answer.

        Args:
            path: Path below `PREFIX`, with the query.
            value_type: Type of the answer.

        Raises:
            AdminCallError: No replica answered, or one rejected the call.
        """
        answer = await self._call("GET", path, None)
        return _admin_codec.from_json(answer, value_type)

    async def _get_confirmed(self, path: str, value_type: type[C]) -> C:
        """Asks the replicas in turn until a majority confirms the answer.

        An isolated replica answers as well, with its last known state. If no
        answer is confirmed, the last one is returned.
        """
        answer = await self.get(path, value_type)
        for _ in self.addresses[1:]:
            if answer.confirmed:
                break
            self._rotate_to(self.addresses[1])
            answer = await self.get(path, value_type)
        return answer

    def _rotate_to(self, address: model.NodeAddress) -> None:
        """Rotates the addresses so that this one is tried first."""
        index = self.addresses.index(address)
        self.addresses = self.addresses[index:] + self.addresses[:index]

    async def _call(self, method: str, path: str, body: bytes | None) -> Any:
        """Calls one address after another until one answers."""
        failure: AdminCallError | None = None
        may_have_run = attempt_in_progress = False
        addresses = self.addresses
        with trio.move_on_after(self.timeout_s):
            for address in itertools.cycle(addresses):
                attempt_in_progress = body is not None
                try:
                    answer = await self._call_address(
                        address, method, path, body
                    )
                    self._rotate_to(address)
                    return answer
                except _RetryableError as error:
                    attempt_in_progress = False
                    failure = error
                    may_have_run |= not error.not_run
                    self.report_progress(f"{address}: {error.message}")
                if address == addresses[-1]:
                    await trio.sleep(ROUND_PAUSE_S)
        may_have_run |= attempt_in_progress
        failure_text = f": {failure.message}" if failure else ""
        code = failure.code if failure else ADMIN_UNREACHABLE
        raise AdminCallError(
            ports.CHANGE_UNKNOWN if may_have_run else code,
            f"no answer from {', '.join(map(str, addresses))}{failure_text}",
            not_run=not may_have_run,
        )

    async def _call_address(
        self,
        address: model.NodeAddress,
        method: str,
        path: str,
        body: bytes | None,
    ) -> Any:
        url = f"http://{address}{PREFIX}{path}"
        status, data = await trio.to_thread.run_sync(
            self._send_blocking, method, url, body, abandon_on_cancel=True
        )
        answer = _parse_answer(data, status, not_run=body is None)
        if status in (200, 409, 422) and "code" not in answer:
            return answer
        error_type = (
            _RetryableError if status in SERVER_ERRORS else AdminCallError
        )
        raise error_type(
            str(answer["code"]),
            str(answer["message"]),
            not_run=body is None or bool(answer["not_run"]),
            details=answer.get("details"),
        )

    def _send_blocking(
        self, method: str, url: str, body: bytes | None
    ) -> tuple[int, bytes]:
        headers = {"Authorization": f"Bearer {self.token}"}
        if body is not None:
            headers["Content-Type"] = "application/json"
        try:
            response = self.pool.request(
                method, url, body=body, headers=headers
            )
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
        return response.status, response.data


class _RetryableError(AdminCallError):
    """A failed attempt; another address may still answer."""


def _request_timeout(read_timeout_s: float) -> urllib3.Timeout:
    return urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_timeout_s)


def _parse_answer(data: bytes, status: int, *, not_run: bool) -> Any:
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
