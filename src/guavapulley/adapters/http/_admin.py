"""Front end of the administration API."""

from collections.abc import Awaitable
from collections.abc import Callable
import hmac
import re
from typing import Any
import urllib.parse

import attrs

from guavapulley import errors
from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import settings
from guavapulley.adapters.http import _admin_codec
from guavapulley.adapters.http import _errors

REQUEST_UNKNOWN = errors.register_code(
    "REQUEST_UNKNOWN", "No entry that answered still knows of the request."
)
KEY_UNKNOWN = errors.register_code(
    "KEY_UNKNOWN", "No request with this idempotency key has been claimed."
)
CHANGE_INVALID = errors.register_code(
    "CHANGE_INVALID", "The change has an object that is not allowed."
)
DEFAULT_HISTORY = 20
MAX_HISTORY = 1_000
MAX_ID_CHARS = 128
MAX_COMMENT_CHARS = 1_024
_STATUS_BY_VERDICT = {
    model.VerdictKind.ACCEPTED: 200,
    model.VerdictKind.CONFLICT: 409,
    model.VerdictKind.INVALID: 422,
}
_BEARER = "bearer "
_ID = re.compile(r"[A-Za-z0-9._:-]+\Z")


class ChangeError(_errors.HttpError):
    """A change that no replica was asked about."""


@attrs.frozen
class _Call:
    """A request with its path parameter and query."""

    request: model.HttpRequest
    parameter: str
    query: dict[str, str]


@attrs.frozen
class _Route:
    """A path below `PREFIX`, with at most one parameter."""

    method: str
    pattern: re.Pattern[str]
    run: Callable[[_Call], Awaitable[model.Answer]]


def _route(
    method: str, path: str, run: Callable[[_Call], Awaitable[model.Answer]]
) -> _Route:
    return _Route(method, re.compile(f"{PREFIX}{path}\\Z"), run)


PREFIX = "/v1/admin/"


class AdminFrontend:
    """Answers operators over HTTP.

    Every path needs the operator token as a bearer token. Bodies are JSON.

    Args:
        service: Decides and answers.
        token: Operator token.
        events: Receives changes and refused tokens.
    """

    def __init__(
        self,
        service: ports.AdminService,
        token: str,
        events: ports.EventLog,
    ) -> None:
        self.service = service
        self.token = token.encode()
        self.events = events
        self.routes = (
            _route("GET", "configuration", self._configuration),
            _route("POST", "changes", self._change),
            _route("GET", "history", self._history),
            _route("GET", "revisions/([0-9]{1,15}|current)", self._revision),
            _route("GET", "replicas", self._replicas),
            _route("GET", "entries", self._entries),
            _route("GET", "upstreams", self._upstreams),
            _route("GET", "outcomes", self._outcome),
            _route("GET", "requests/(.+)", self._request),
        )

    async def handle(
        self, request: model.HttpRequest, reply: ports.ReplyWriter
    ) -> None:
        """Answers one request.

        Raises:
            GuavapulleyError: Sent as a JSON error by the server.
        """
        self._check_token(request)
        route, parameter = self._find(request)
        call = _Call(request, parameter, _query(request.query))
        answer = await route.run(call)
        await _errors.send_answer(reply, answer)

    def _check_token(self, request: model.HttpRequest) -> None:
        given = request.header("Authorization") or ""
        token = (
            given[len(_BEARER) :] if given.lower().startswith(_BEARER) else ""
        )
        if not hmac.compare_digest(token.strip().encode(), self.token):
            self.events.write("admin:token_refused", peer=request.peer_host)
            raise _errors.HttpError(
                _errors.NOT_AUTHORIZED, "the operator token is missing or wrong"
            )

    def _find(self, request: model.HttpRequest) -> tuple[_Route, str]:
        methods = []
        for route in self.routes:
            match = route.pattern.match(request.path)
            if match and route.method == request.method:
                return route, "".join(match.groups())
            if match:
                methods.append(route.method)
        if methods:
            raise _errors.HttpError(
                _errors.METHOD_NOT_ALLOWED,
                f"the path takes {', '.join(methods)}",
            )
        raise _errors.HttpError(
            _errors.NOT_FOUND, "there is no such administration path"
        )

    async def _configuration(self, call: _Call) -> model.Answer:
        return _answer(await self.service.configuration())

    async def _change(self, call: _Call) -> model.Answer:
        body = _admin_codec.parse_json(call.request.body)
        change = _admin_codec.from_json(body, model.Change)
        _check_change(change)
        verdict = await self.service.change(change)
        self.events.write(
            "admin:change",
            request_id=change.request_id,
            operator=change.operator,
            base_revision=change.base_revision,
            verdict=verdict.kind.value,
            revision=verdict.revision,
            objects=[
                f"{key.kind} {key.name}"
                for key in (
                    *map(model.object_key, change.puts),
                    *change.deletes,
                )
            ],
        )
        return _answer(verdict, status=_STATUS_BY_VERDICT[verdict.kind])

    async def _history(self, call: _Call) -> model.Answer:
        after = _number(call, "after", 0)
        limit = min(_number(call, "limit", DEFAULT_HISTORY), MAX_HISTORY)
        changes = tuple(await self.service.history(after, limit))
        return _answer(changes, tuple[ports.AcceptedChange, ...])

    async def _revision(self, call: _Call) -> model.Answer:
        wanted = None if call.parameter == "current" else int(call.parameter)
        return _answer(await self.service.revision_status(wanted))

    async def _replicas(self, call: _Call) -> model.Answer:
        found = tuple(await self.service.replicas())
        return _answer(found, tuple[ports.ReplicaView, ...])

    async def _entries(self, call: _Call) -> model.Answer:
        found = tuple(await self.service.entries())
        return _answer(found, tuple[model.EntryRecord, ...])

    async def _upstreams(self, call: _Call) -> model.Answer:
        found = tuple(await self.service.upstreams())
        return _answer(found, tuple[model.UpstreamRecord, ...])

    async def _outcome(self, call: _Call) -> model.Answer:
        service, key = (_text(call, name) for name in ("service", "key"))
        outcome = await self.service.outcome(service, key)
        if outcome is None:
            raise _NotFoundError(
                KEY_UNKNOWN,
                "no request with this key has been claimed; one may still be"
                " under way, or its key may have expired",
            )
        return _answer(outcome)

    async def _request(self, call: _Call) -> model.Answer:
        explanation = await self.service.explain(call.parameter)
        if explanation is None:
            raise _NotFoundError(
                REQUEST_UNKNOWN, "no entry that answered knows of the request"
            )
        return _answer(explanation)


class _NotFoundError(_errors.HttpError):
    """Nothing is known of what the operator asks for."""


_errors.STATUS_BY_CODE.update(
    {
        KEY_UNKNOWN: 404,
        REQUEST_UNKNOWN: 404,
        CHANGE_INVALID: 422,
        ports.READ_FAILED: 503,
    }
)


def _answer(value: object, kind: Any = None, status: int = 200) -> model.Answer:
    answer = _errors.json_answer(_admin_codec.to_json(value, kind), status)
    headers = (*answer.head.headers, ("Cache-Control", "no-store"))
    return attrs.evolve(answer, head=attrs.evolve(answer.head, headers=headers))


def _query(text: str) -> dict[str, str]:
    try:
        pairs = urllib.parse.parse_qsl(
            text, keep_blank_values=True, max_num_fields=16
        )
    except ValueError as error:
        raise _errors.HttpError(
            _errors.BAD_REQUEST, "the query has too many fields"
        ) from error
    return dict(pairs)


def _text(call: _Call, name: str) -> str:
    value = call.query.get(name, "")
    if not value:
        raise _errors.HttpError(_errors.BAD_REQUEST, f"the query needs {name}")
    return value


def _number(call: _Call, name: str, default: int) -> int:
    text = call.query.get(name)
    if text is None:
        return default
    if not re.fullmatch(r"[0-9]{1,15}", text):
        raise _errors.HttpError(
            _errors.BAD_REQUEST, f"{name} is no whole number"
        )
    return int(text)


def _check_change(change: model.Change) -> None:
    """Refuses what a steering file could not express."""
    ids = (change.request_id, change.operator)
    if not all(_ID.match(text) and len(text) <= MAX_ID_CHARS for text in ids):
        raise ChangeError(
            CHANGE_INVALID,
            "request ID and operator consist of 1 to"
            f" {MAX_ID_CHARS} of A-Z a-z 0-9 . _ : -",
        )
    if len(change.comment) > MAX_COMMENT_CHARS:
        raise ChangeError(
            CHANGE_INVALID,
            f"the comment exceeds {MAX_COMMENT_CHARS} characters",
        )
    keys = [*map(model.object_key, change.puts), *change.deletes]
    if not keys or len(set(keys)) != len(keys):
        raise ChangeError(
            CHANGE_INVALID, "a change names at least one object, each once"
        )
    try:
        for item in change.puts:
            settings.check_object(item)
        for key in change.deletes:
            settings.parse_object_key(key.kind, key.name)
    except settings.SettingsError as error:
        raise ChangeError(
            CHANGE_INVALID, error.message, **error.details
        ) from error
