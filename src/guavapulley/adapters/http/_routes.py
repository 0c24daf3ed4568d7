"""Routing of HTTP requests by method and path."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import hmac
from urllib import parse

import attrs

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters.http import _errors

RouteHandler = Callable[["Call", ports.ReplyWriter], Awaitable[None]]


@attrs.frozen
class Call:
    """A request with the variable segments of its path.

    Attributes:
        request: The received request.
        segments: Decoded values of the variable segments, in order.
    """

    request: model.HttpRequest
    segments: tuple[str, ...]

    def query_parameter(self, name: str, default: str = "") -> str:
        """Returns the first query parameter with a name, or the default."""
        values = parse.parse_qs(self.request.query).get(name)
        return values[0] if values else default


@attrs.frozen
class Route:
    """A handler for a method and a path.

    Attributes:
        method: Method, or `*` for any.
        pattern: Path; `{}` stands for one variable segment, and a final `{*}`
            for the remaining path.
        handler: Answers the request.
        token: Required bearer token; None or empty if none is required.
    """

    method: str
    pattern: str
    handler: RouteHandler
    token: str | None = None

    def match(self, raw_path: str) -> tuple[str, ...] | None:
        """Returns the variable segments of a path, or None without a match.

        Segments are decoded separately, so that an encoded slash remains part
        of its segment.

        >>> Route("GET", "/v1/x/{}", None).match("/v1/x/a%2Fb")
        ('a/b',)
        """
        expected_segments = self.pattern.split("/")
        actual_segments = raw_path.split("/")
        if expected_segments[-1] == "{*}":
            expected_segments.pop()
            del actual_segments[len(expected_segments) :]
        if len(expected_segments) != len(actual_segments):
            return None
        pairs = list(zip(expected_segments, actual_segments, strict=True))
        if any(
            expected != actual for expected, actual in pairs if expected != "{}"
        ):
            return None
        return tuple(
            parse.unquote(actual)
            for expected, actual in pairs
            if expected == "{}"
        )


class Router:
    """Passes requests to their routes; implements `ports.HttpHandler`.

    Args:
        routes: Routes in the order in which they are matched.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self.routes = list(routes)

    async def handle(
        self, request: model.HttpRequest, reply: ports.ReplyWriter
    ) -> None:
        """Answers one request; see `ports.HttpHandler`."""
        path = request.raw_path or request.path
        allowed_methods = []
        for route in self.routes:
            segments = route.match(path)
            if segments is None:
                continue
            if _accepts_method(route.method, request.method):
                _authorize(route, request)
                await route.handler(Call(request, segments), reply)
                return
            allowed_methods.append(route.method)
        if not allowed_methods:
            raise _errors.HttpError(
                _errors.NOT_FOUND, "the path does not exist", path=request.path
            )
        raise _errors.HttpError(
            _errors.METHOD_NOT_ALLOWED,
            f"the path does not support {request.method}",
            allowed=sorted(allowed_methods),
        )


def _authorize(route: Route, request: model.HttpRequest) -> None:
    if not route.token:
        return
    header = request.header("Authorization") or ""
    expected = f"Bearer {route.token}"
    if not hmac.compare_digest(header.encode(), expected.encode()):
        raise _errors.HttpError(
            _errors.NOT_AUTHORIZED, "the bearer token is missing or wrong"
        )


def _accepts_method(route_method: str, method: str) -> bool:
    return route_method in ("*", method) or (
        route_method == "GET" and method == "HEAD"
    )
