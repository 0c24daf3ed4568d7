"""Front end of the administration API."""

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
PREFIX = "/v1/admin/"
_NUMBER = re.compile(r"[0-9]{1,15}\Z")
_ID = re.compile(r"[A-Za-z0-9._:-]+\Z")


class ChangeError(_errors.HttpError):
    """A change that no replica was asked about."""


class AdminFrontend:
    """Answers operators over HTTP; a `ports.HttpHandler`.

    Every path but `/v1/status` needs the operator token as a bearer token.
    Bodies are JSON.

    Args:
        service: Decides and answers.
        token: Operator token.
        events: Receives changes.

    Raises:
        ValueError: The token is empty, which would let everyone in.
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
        actions = (
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
        guarded = (
            _routes.Route(method, f"{PREFIX}{path}", _action(run), token)
            for method, path, run in actions
        )
        status = _routes.Route("GET", "/v1/status", _action(self._status))
        self.router = _routes.Router((status, *guarded))

    async def handle(
        self, request: model.HttpRequest, reply: ports.ReplyWriter
    ) -> None:
        """Answers one request; see `ports.HttpHandler`."""
        await self.router.handle(request, reply)

    async def _status(self, call: _routes.Call) -> model.Answer:
        return _answer(self.service.local_status())

    async def _configuration(self, call: _routes.Call) -> model.Answer:
        return _answer(await self.service.configuration())

    async def _change(self, call: _routes.Call) -> model.Answer:
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

    async def _history(self, call: _routes.Call) -> model.Answer:
        after = _number(call, "after", 0)
        limit = min(_number(call, "limit", DEFAULT_HISTORY), MAX_HISTORY)
        changes = tuple(await self.service.history(after, limit))
        return _answer(changes, tuple[ports.AcceptedChange, ...])

    async def _revision(self, call: _routes.Call) -> model.Answer:
        (name,) = call.segments
        wanted = None if name == "current" else _whole_number("revision", name)
        return _answer(await self.service.revision_status(wanted))

    async def _replicas(self, call: _routes.Call) -> model.Answer:
        found = tuple(await self.service.replicas())
        return _answer(found, tuple[ports.ReplicaView, ...])

    async def _entries(self, call: _routes.Call) -> model.Answer:
        found = tuple(await self.service.entries())
        return _answer(found, tuple[model.EntryRecord, ...])

    async def _upstreams(self, call: _routes.Call) -> model.Answer:
        found = tuple(await self.service.upstreams())
        return _answer(found, tuple[model.UpstreamRecord, ...])

    async def _outcome(self, call: _routes.Call) -> model.Answer:
        service, key = (_text(call, name) for name in ("service", "key"))
        outcome = await self.service.outcome(service, key)
        if outcome is None:
            raise _NotFoundError(
                KEY_UNKNOWN,
                "no request with this key has been claimed; one may still be"
                " under way, or its key may have expired",
            )
        return _answer(outcome)

    async def _request(self, call: _routes.Call) -> model.Answer:
        explanation = await self.service.explain(call.segments[0])
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


def _action(
    run: Callable[[_routes.Call], Awaitable[model.Answer]],
) -> _routes.Action:
    async def action(call: _routes.Call, reply: ports.ReplyWriter) -> None:
        await _errors.send_answer(reply, await run(call))

    return action


def _answer(value: object, kind: Any = None, status: int = 200) -> model.Answer:
    answer = _errors.json_answer(_admin_codec.to_json(value, kind), status)
    headers = (*answer.head.headers, ("Cache-Control", "no-store"))
    return attrs.evolve(answer, head=attrs.evolve(answer.head, headers=headers))


def _text(call: _routes.Call, name: str) -> str:
    value = call.parameter(name)
    if not value:
        raise _errors.HttpError(_errors.BAD_REQUEST, f"the query needs {name}")
    return value


def _number(call: _routes.Call, name: str, default: int) -> int:
    return _whole_number(name, call.parameter(name, str(default)))


def _whole_number(name: str, text: str) -> int:
    if not _NUMBER.match(text):
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
