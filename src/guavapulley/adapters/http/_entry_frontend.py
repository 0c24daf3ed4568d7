"""HTTP front end of an entry."""

import math
import secrets

import attrs
import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports
from guavapulley import serving
from guavapulley.adapters.http import _entry_json
from guavapulley.adapters.http import _errors
from guavapulley.adapters.http import _headers
from guavapulley.adapters.http import _routes

MAX_REQUEST_ID_CHARS = 128
REQUEST_ID_BYTES = 12
# Headers for the entry only; upstreams receive values set by the entry.
_CONSUMED_HEADERS = frozenset(
    {_headers.REQUEST_ID.lower(), _headers.DEADLINE_MS.lower()}
)


@attrs.frozen
class EntryServices:
    """Services of an entry that its front end calls.

    Attributes:
        name: Name of the entry.
        requests: Answers the requests of callers.
        once_executor: Returns the outcomes of idempotency keys.
        lookup: Returns the entries that a caller should use.
        region_resolver: Determines the regions of callers.
        registry: Receives announcements and renewals of upstreams.
        watcher: Holds the current configuration.
        view: State of upstreams and entries as this entry observes it.
        steerer: Explains steering decisions.
    """

    name: str
    requests: serving.RequestService
    once_executor: serving.OnceExecutor
    lookup: serving.Lookup
    region_resolver: serving.CallerRegionResolver
    registry: serving.UpstreamRegistry
    watcher: serving.ConfigurationWatcher
    view: ports.SteeringView
    steerer: serving.Steerer


class EntryFrontend:
    """HTTP front end of an entry; implements `ports.HttpHandler`.

    Args:
        services: Services that execute the calls.
        upstream_token: Bearer token of upstreams; empty if none is required.
        operator_token: Bearer token of operators; empty if none is required.
        events: Receives an event for each refused request.
    """

    def __init__(
        self,
        services: EntryServices,
        upstream_token: str = "",
        operator_token: str = "",
        events: ports.EventLog | None = None,
    ) -> None:
        self.services = services
        self.events = events or ports.NullEventLog()
        route = _routes.Route
        upstream = "/v1/upstreams/{}"
        self.router = _routes.Router(
            [
                route("*", "/s/{}/{*}", self._steer),
                route("GET", "/v1/lookup", self._look_up),
                route("GET", "/v1/outcomes/{}/{}", self._outcome),
                route("POST", upstream, self._announce, upstream_token),
                route("PUT", upstream, self._renew, upstream_token),
                route("DELETE", upstream, self._leave, upstream_token),
                route("GET", "/v1/status", self._status),
                route("GET", "/v1/explain/{}", self._explain, operator_token),
            ]
        )

    async def handle(
        self, request: model.HttpRequest, reply: ports.ReplyWriter
    ) -> None:
        """Answers one request; see `ports.HttpHandler`."""
        await self.router.handle(request, reply)

    async def _steer(
        self, call: _routes.Call, reply: ports.ReplyWriter
    ) -> None:
        request = _parse_steered_request(call)
        reply_with_id = _ReplyWithRequestId(reply, request.request_id)
        try:
            await self.services.requests.handle(
                request, reply_with_id, call.request.peer_host
            )
        except errors.GuavapulleyError as error:
            if reply_with_id.started:
                raise
            self.events.write(
                "request:refused",
                code=error.code,
                request_id=request.request_id,
                service=request.service,
                not_run=getattr(error, "not_run", False),
                reason=error.message,
            )
            await _errors.send_answer(
                reply_with_id, _errors.error_answer(error)
            )

    async def _look_up(
        self, call: _routes.Call, reply: ports.ReplyWriter
    ) -> None:
        host = call.request.peer_host
        configuration = self.services.watcher.configuration
        region = call.query_parameter(
            "region"
        ) or self.services.region_resolver.resolve(host, configuration)
        result = self.services.lookup.find_entries(
            call.query_parameter("service"), region, host
        )
        await _send_json(reply, _entry_json.lookup_body(result))

    async def _outcome(
        self, call: _routes.Call, reply: ports.ReplyWriter
    ) -> None:
        outcome = await self.services.once_executor.outcome(*call.segments)
        await _send_json(reply, _entry_json.outcome_body(outcome))

    async def _announce(
        self, call: _routes.Call, reply: ports.ReplyWriter
    ) -> None:
        record = _entry_json.decode(
            call.request.body,
            model.UpstreamRecord,
            upstream=call.segments[0],
        )
        self.services.registry.announce(record)
        await _send_json(reply, {"announced": record.upstream})

    async def _renew(
        self, call: _routes.Call, reply: ports.ReplyWriter
    ) -> None:
        renewal = _entry_json.decode(call.request.body, _entry_json.Renewal)
        self.services.registry.renew(
            call.segments[0],
            renewal.incarnation,
            renewal.sequence,
            renewal.load,
        )
        await _send_json(reply, {"renewed": call.segments[0]})

    async def _leave(
        self, call: _routes.Call, reply: ports.ReplyWriter
    ) -> None:
        text = call.query_parameter("incarnation")
        if not text.isdigit():
            raise _errors.HttpError(
                _errors.BAD_REQUEST,
                "the query parameter `incarnation` must be a number",
            )
        self.services.registry.leave(call.segments[0], int(text))
        await _send_json(reply, {"leaving": call.segments[0]})

    async def _status(
        self, call: _routes.Call, reply: ports.ReplyWriter
    ) -> None:
        services = self.services
        configuration = services.watcher.configuration
        body = {
            "entry": services.name,
            "state": services.watcher.state().value,
            "revision": configuration.revision,
            "now_s": trio.current_time(),
            "in_progress": services.requests.in_progress,
            "entries": [
                _entry_json.encode(entry)
                for entry in services.view.live_entries()
            ],
            "upstreams": [
                _entry_json.encode(observation)
                for service in sorted(configuration.services())
                for observation in services.view.upstreams(service)
            ],
        }
        await _send_json(reply, body)

    async def _explain(
        self, call: _routes.Call, reply: ports.ReplyWriter
    ) -> None:
        explanation = self.services.steerer.explain(call.segments[0])
        if explanation is None:
            raise _errors.HttpError(
                _errors.NOT_FOUND,
                "this entry has no record of the request",
                request_id=call.segments[0],
            )
        await _send_json(reply, _entry_json.encode(explanation))


class _ReplyWithRequestId:
    """Adds the request ID to the headers of a reply."""

    def __init__(self, reply: ports.ReplyWriter, request_id: str) -> None:
        self.reply = reply
        self.request_id = request_id
        self.started = False

    async def start(self, head: model.AnswerHead) -> None:
        """Sends status and headers; see `ports.ReplyWriter`."""
        self.started = True
        name = _headers.REQUEST_ID
        other_headers = (
            header
            for header in head.headers
            if header[0].lower() != name.lower()
        )
        headers = (*other_headers, (name, self.request_id))
        await self.reply.start(attrs.evolve(head, headers=headers))

    async def write(self, chunk: bytes) -> None:
        """Sends a part of the body; see `ports.ReplyWriter`."""
        await self.reply.write(chunk)


def _parse_steered_request(
    call: _routes.Call,
) -> model.SteeredRequest:
    request = call.request
    _, _, _, remaining_path = (*request.raw_path.split("/", 3), "")[:4]
    query = f"?{request.query}" if request.query else ""
    forwarded = (
        (name, value)
        for name, value in _headers.end_to_end_headers(request.headers)
        if name.lower() not in _CONSUMED_HEADERS
    )
    deadline_ms = _number_header(request, _headers.DEADLINE_MS)
    return model.SteeredRequest(
        _request_id(request),
        call.segments[0],
        request.method,
        f"/{remaining_path}{query}",
        tuple(forwarded),
        request.body,
        "",
        serving.parse_labels(request.header(_headers.LABELS) or ""),
        request.header(_headers.IDEMPOTENCY_KEY),
        _number_header(request, _headers.KEY_CREATED),
        None if deadline_ms is None else deadline_ms / 1_000,
    )


def _request_id(request: model.HttpRequest) -> str:
    request_id = request.header(_headers.REQUEST_ID)
    if request_id is None:
        return secrets.token_hex(REQUEST_ID_BYTES)
    is_visible = (
        request_id.isascii()
        and request_id.isprintable()
        and " " not in request_id
    )
    if not 0 < len(request_id) <= MAX_REQUEST_ID_CHARS or not is_visible:
        raise _errors.HttpError(
            _errors.BAD_REQUEST,
            f"a request ID has 1 to {MAX_REQUEST_ID_CHARS} visible characters",
        )
    return request_id


def _number_header(request: model.HttpRequest, name: str) -> float | None:
    text = request.header(name)
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value) or value < 0:
        raise _errors.HttpError(
            _errors.BAD_REQUEST,
            f"the header {name} must be a number",
        )
    return value


async def _send_json(reply: ports.ReplyWriter, body: object) -> None:
    await _errors.send_answer(reply, _errors.json_answer(body))
