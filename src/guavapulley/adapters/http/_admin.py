"""HTTP front end of the administration API."""

from collections.abc import Awaitable
from collections.abc import Callable
import re
from typing import Any

import attrs

from guavapulley import errors
from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import settings
from guavapulley.adapters.http import _admin_codec
from guavapulley.adapters.http import _errors
from guavapulley.adapters.http import _routes

REQUEST_UNKNOWN = errors.register_code(
    "REQUEST_UNKNOWN", "No entry that answered has a record of the request."
)
KEY_UNKNOWN = errors.register_code(
    "KEY_UNKNOWN", "No request with this idempotency key has been claimed."
)
CHANGE_INVALID = errors.register_code(
    "CHANGE_INVALID", "The change or one of its objects is invalid."
)
DEFAULT_HISTORY_LIMIT = 20
MAX_HISTORY_LIMIT = 1_000
MAX_ID_CHARS = 128
MAX_COMMENT_CHARS = 1_024
_STATUS_BY_VERDICT = {
    model.VerdictKind.ACCEPTED: 200,
    model.VerdictKind.CONFLICT: 409,
    model.VerdictKind.INVALID: 422,
}
PREFIX = "/v1/admin/"
_INTEGER_PATTERN = re.compile(r"[0-9]{1,15}\Z")
_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]+\Z")


class InvalidChangeError(_errors.HttpError):
    """A change that is rejected before any replica receives it."""


class AdminFrontend:
    """Serves operators over HTTP; implements `ports.HttpHandler`.

    Every path except `/v1/status` requires the operator token as a bearer
    token. Bodies are JSON.

    Args:
        service: Executes the calls.
        token: Operator token.
        events: Receives an event for each decided change.

    Raises:
        ValueError: The token is empty, which would allow everyone access.
    """

    def __init__(
        self,
        service: ports.AdminService,
        token: str,
        events: ports.EventLog,
    ) -> None:
        if not token:
            raise ValueError("the operator token is empty")
        self.service = service
        self.events = events
        routes = (
            ("GET", "configuration", self._configuration),
            ("POST", "changes", self._change),
            ("GET", "history", self._history),
            ("GET", "revisions/{}", self._revision),
            ("GET", "replicas", self._replicas),
            ("GET", "entries", self._entries),
            ("GET", "upstreams", self._upstreams),
            ("GET", "outcomes", self._outcome),
            ("GET", "requests/{}", self._request),
        )
        authorized_routes = (
            _routes.Route(
                method,
                f"{PREFIX}{path_suffix}",
                _route_handler(get_answer),
                token,
            )
            for method, path_suffix, get_answer in routes
        )
        status_route = _routes.Route(
            "GET", "/v1/status", _route_handler(self._status)
        )
        self.router = _routes.Router((status_route, *authorized_routes))

    async def handle(
        self, request: model.HttpRequest, reply: ports.ReplyWriter
    ) -> None:
        """Answers one request; see `ports.HttpHandler`."""
        await self.router.handle(request, reply)

    async def _status(self, call: _routes.Call) -> model.Answer:
        return _json_answer(self.service.local_status())

    async def _configuration(self, call: _routes.Call) -> model.Answer:
        return _json_answer(await self.service.configuration())

    async def _change(self, call: _routes.Call) -> model.Answer:
        body = _admin_codec.parse_json(call.request.body)
        change = _admin_codec.from_json(body, model.Change)
        _validate_change(change)
        verdict = await self.service.propose_change(change)
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
        return _json_answer(verdict, status=_STATUS_BY_VERDICT[verdict.kind])

    async def _history(self, call: _routes.Call) -> model.Answer:
        after = _integer_parameter(call, "after", 0)
        limit = min(
            _integer_parameter(call, "limit", DEFAULT_HISTORY_LIMIT),
            MAX_HISTORY_LIMIT,
        )
        changes = tuple(await self.service.history(after, limit))
        return _json_answer(changes, tuple[ports.AcceptedChange, ...])

    async def _revision(self, call: _routes.Call) -> model.Answer:
        (name,) = call.segments
        revision = (
            None if name == "current" else _parse_integer("revision", name)
        )
        return _json_answer(await self.service.revision_status(revision))

    async def _replicas(self, call: _routes.Call) -> model.Answer:
        replica_views = tuple(await self.service.replicas())
        return _json_answer(replica_views, tuple[ports.ReplicaView, ...])

    async def _entries(self, call: _routes.Call) -> model.Answer:
        entry_records = tuple(await self.service.entries())
        return _json_answer(entry_records, tuple[model.EntryRecord, ...])

    async def _upstreams(self, call: _routes.Call) -> model.Answer:
        upstream_records = tuple(await self.service.upstreams())
        return _json_answer(upstream_records, tuple[model.UpstreamRecord, ...])

    async def _outcome(self, call: _routes.Call) -> model.Answer:
        service, key = (
            _required_parameter(call, name) for name in ("service", "key")
        )
        outcome = await self.service.outcome(service, key)
        if outcome is None:
            raise _NotFoundError(
                KEY_UNKNOWN,
                "no request with this key has been claimed; one may still be"
                " under way, or its key may have expired",
            )
        return _json_answer(outcome)

    async def _request(self, call: _routes.Call) -> model.Answer:
        explanation = await self.service.explain(call.segments[0])
        if explanation is None:
            raise _NotFoundError(
                REQUEST_UNKNOWN,
                "no entry that answered knows of the request",
            )
        return _json_answer(explanation)


class _NotFoundError(_errors.HttpError):
    """The requested outcome or explanation does not exist."""


_errors.STATUS_BY_CODE.update(
    {
        KEY_UNKNOWN: 404,
        REQUEST_UNKNOWN: 404,
        CHANGE_INVALID: 422,
        ports.READ_FAILED: 503,
    }
)


def _route_handler(
    get_answer: Callable[[_routes.Call], Awaitable[model.Answer]],
) -> _routes.RouteHandler:
    async def handle(call: _routes.Call, reply: ports.ReplyWriter) -> None:
        await _errors.send_answer(reply, await get_answer(call))

    return handle


def _json_answer(
    value: object, value_type: Any = None, status: int = 200
) -> model.Answer:
    answer = _errors.json_answer(
        _admin_codec.to_json(value, value_type), status
    )
    headers = (*answer.head.headers, ("Cache-Control", "no-store"))
    return attrs.evolve(answer, head=attrs.evolve(answer.head, headers=headers))


def _required_parameter(call: _routes.Call, name: str) -> str:
    value = call.query_parameter(name)
    if not value:
        raise _errors.HttpError(_errors.BAD_REQUEST, f"the query needs {name}")
    return value


def _integer_parameter(call: _routes.Call, name: str, default: int) -> int:
    return _parse_integer(name, call.query_parameter(name, str(default)))


def _parse_integer(name: str, text: str) -> int:
    if not _INTEGER_PATTERN.match(text):
        raise _errors.HttpError(
            _errors.BAD_REQUEST,
            f"{name} is no whole number",
        )
    return int(text)


def _validate_change(change: model.Change) -> None:
    """Rejects a change that a steering file could not express."""
    ids = (change.request_id, change.operator)
    if not all(
        _ID_PATTERN.match(text) and len(text) <= MAX_ID_CHARS for text in ids
    ):
        raise InvalidChangeError(
            CHANGE_INVALID,
            "request ID and operator consist of 1 to"
            f" {MAX_ID_CHARS} of A-Z a-z 0-9 . _ : -",
        )
    if len(change.comment) > MAX_COMMENT_CHARS:
        raise InvalidChangeError(
            CHANGE_INVALID,
            f"the comment exceeds {MAX_COMMENT_CHARS} characters",
        )
    keys = [*map(model.object_key, change.puts), *change.deletes]
    if not keys or len(set(keys)) != len(keys):
        raise InvalidChangeError(
            CHANGE_INVALID,
            "a change names at least one object, each once",
        )
    try:
        for config_object in change.puts:
            settings.check_object(config_object)
        for key in change.deletes:
            settings.parse_object_key(key.kind, key.name)
    except settings.SettingsError as error:
        raise InvalidChangeError(
            CHANGE_INVALID, error.message, **error.details
        ) from error
