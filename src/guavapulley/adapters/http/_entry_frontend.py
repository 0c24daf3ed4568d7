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
# Headers that only concern the entry; upstreams get their own values.
_CONSUMED = frozenset(
    {_headers.REQUEST_ID.lower(), _headers.DEADLINE_MS.lower()}
)


@attrs.frozen
class EntryServices:
    """What the front end calls.

    Attributes:
        name: Name of the entry.
        requests: Answers the requests of callers.
        once: Knows the outcomes of idempotency keys.
        lookup: Names entries to callers.
        regions: Finds the regions of callers.
        registry: Takes what upstreams say of themselves.
        follower: Configuration of the entry.
        view: State of the system as the entry knows it.
        steerer: Explains decisions.
    """

    name: str
    requests: serving.RequestService
    once: serving.OnceExecutor
    lookup: serving.Lookup
    regions: serving.CallerRegionResolver
    registry: serving.UpstreamRegistry
    follower: serving.ConfigurationWatcher
    view: ports.SteeringView
    steerer: serving.Steerer


class EntryFrontend:
    """`ports.HttpHandler` of an entry.

    Args:
        services: What the front end calls.
        upstream_token: Bearer token of upstreams; empty needs none.
        operator_token: Bearer token of operators; empty needs none.
        events: Receives refused requests.
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
        request = _steered(call)
        tagged = _TaggedReply(reply, request.request_id)
        try:
            await self.services.requests.handle(
                request, tagged, call.request.peer_host
            )
        except errors.GuavapulleyError as error:
            if tagged.started:
                raise
            self.events.write(
                "request:refused",
                code=error.code,
                request_id=request.request_id,
                service=request.service,
                not_run=getattr(error, "not_run", False),
                reason=error.message,
            )
            await _errors.send_answer(tagged, _errors.error_answer(error))

    async def _look_up(
        self, call: _routes.Call, reply: ports.ReplyWriter
    ) -> None:
        host = call.request.peer_host
        configuration = self.services.follower.configuration
        region = call.parameter("region") or self.services.regions.resolve(
            host, configuration
        )
        found = self.services.lookup.find_entries(
            call.parameter("service"), region, host
        )
        await _reply(reply, _entry_json.lookup_body(found))

    async def _outcome(
        self, call: _routes.Call, reply: ports.ReplyWriter
    ) -> None:
        found = await self.services.once.outcome(*call.segments)
        await _reply(reply, _entry_json.outcome_body(found))

    async def _announce(
        self, call: _routes.Call, reply: ports.ReplyWriter
    ) -> None:
        record = _entry_json.decode(
            call.request.body,
            model.UpstreamRecord,
            upstream=call.segments[0],
        )
        self.services.registry.announce(record)
        await _reply(reply, {"announced": record.upstream})

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
        await _reply(reply, {"renewed": call.segments[0]})

    async def _leave(
        self, call: _routes.Call, reply: ports.ReplyWriter
    ) -> None:
        text = call.parameter("incarnation")
        if not text.isdigit():
            raise _errors.HttpError(
                _errors.BAD_REQUEST,
                "the query parameter `incarnation` must be a number",
            )
        self.services.registry.leave(call.segments[0], int(text))
        await _reply(reply, {"leaving": call.segments[0]})

    async def _status(
        self, call: _routes.Call, reply: ports.ReplyWriter
    ) -> None:
        services = self.services
        configuration = services.follower.configuration
        body = {
            "entry": services.name,
            "state": services.follower.state().value,
            "revision": configuration.revision,
            "now_s": trio.current_time(),
            "in_progress": services.requests.in_progress,
            "entries": [
                _entry_json.encode(e) for e in services.view.live_entries()
            ],
            "upstreams": [
                _entry_json.encode(known)
                for name in sorted(configuration.services())
                for known in services.view.upstreams(name)
            ],
        }
        await _reply(reply, body)

    async def _explain(
        self, call: _routes.Call, reply: ports.ReplyWriter
    ) -> None:
        found = self.services.steerer.explain(call.segments[0])
        if found is None:
            raise _errors.HttpError(
                _errors.NOT_FOUND,
                "this entry remembers no such request",
                request_id=call.segments[0],
            )
        await _reply(reply, _entry_json.encode(found))


class _TaggedReply:
    """Adds the ID of the request to its reply."""

    def __init__(self, reply: ports.ReplyWriter, request_id: str) -> None:
        self.reply = reply
        self.request_id = request_id
        self.started = False

    async def start(self, head: model.AnswerHead) -> None:
        """Sends status and headers; see `ports.ReplyWriter`."""
        self.started = True
        name = _headers.REQUEST_ID
        others = (h for h in head.headers if h[0].lower() != name.lower())
        tagged = (*others, (name, self.request_id))
        await self.reply.start(attrs.evolve(head, headers=tagged))

    async def write(self, chunk: bytes) -> None:
        """Sends a part of the body; see `ports.ReplyWriter`."""
        await self.reply.write(chunk)


def _steered(call: _routes.Call) -> model.SteeredRequest:
    request = call.request
    _, _, _, rest = (*request.raw_path.split("/", 3), "")[:4]
    query = f"?{request.query}" if request.query else ""
    passed = (
        (name, value)
        for name, value in _headers.end_to_end(request.headers)
        if name.lower() not in _CONSUMED
    )
    deadline_ms = _number(request, _headers.DEADLINE_MS)
    return model.SteeredRequest(
        _request_id(request),
        call.segments[0],
        request.method,
        f"/{rest}{query}",
        tuple(passed),
        request.body,
        "",
        serving.parse_labels(request.header(_headers.LABELS) or ""),
        request.header(_headers.IDEMPOTENCY_KEY),
        _number(request, _headers.KEY_CREATED),
        None if deadline_ms is None else deadline_ms / 1_000,
    )


def _request_id(request: model.HttpRequest) -> str:
    given = request.header(_headers.REQUEST_ID)
    if given is None:
        return secrets.token_hex(REQUEST_ID_BYTES)
    printable = given.isascii() and given.isprintable() and " " not in given
    if not 0 < len(given) <= MAX_REQUEST_ID_CHARS or not printable:
        raise _errors.HttpError(
            _errors.BAD_REQUEST,
            f"a request ID has 1 to {MAX_REQUEST_ID_CHARS} visible characters",
        )
    return given


def _number(request: model.HttpRequest, name: str) -> float | None:
    text = request.header(name)
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value) or value < 0:
        raise _errors.HttpError(
            _errors.BAD_REQUEST, f"the header {name} must be a number"
        )
    return value


async def _reply(reply: ports.ReplyWriter, body: object) -> None:
    await _errors.send_answer(reply, _errors.json_answer(body))
