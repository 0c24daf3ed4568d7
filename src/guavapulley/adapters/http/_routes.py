"""Routes of an HTTP front end."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import hmac
from urllib import parse

import attrs

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters.http import _errors

Action = Callable[["Call", ports.ReplyWriter], Awaitable[None]]


@attrs.frozen
class Call:
    """A request with the variable segments of its path.

    Attributes:
        request: The request.
        segments: Decoded values of the variable segments, in order.
    """

    request: model.HttpRequest
    segments: tuple[str, ...]

    def parameter(self, name: str, default: str = "") -> str:
        """Returns the first query parameter of a name."""
        found = parse.parse_qs(self.request.query).get(name)
        return found[0] if found else default


@attrs.frozen
class Route:
    """An action for a method and a path.

    Attributes:
        method: Method, or `*` for any.
        pattern: Path; `{}` stands for one variable segment, and a last `{*}`
            for the rest of the path.
        action: Answers the request.
        token: Bearer token that is needed; None or empty needs none.
    """

    method: str
    pattern: str
    action: Action
    token: str | None = None

    def match(self, raw_path: str) -> tuple[str, ...] | None:
        """Returns the variable segments of a path, or None.

        Segments are decoded one by one, so that an encoded slash stays within
        its segment.

        >>> Route("GET", "/v1/x/{}", None).match("/v1/x/a%2Fb")
        ('a/b',)
        """
        wanted = self.pattern.split("/")
        given = raw_path.split("/")
        if wanted[-1] == "{*}":
            wanted.pop()
            del given[len(wanted) :]
        if len(wanted) != len(given):
            return None
        pairs = list(zip(wanted, given, strict=True))
        if any(w != g for w, g in pairs if w != "{}"):
            return None
        return tuple(parse.unquote(g) for w, g in pairs if w == "{}")


class Router:
    """`ports.HttpHandler` that finds the route of a request.

    Args:
        routes: Routes, tried in order.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self.routes = list(routes)

    async def handle(
        self, request: model.HttpRequest, reply: ports.ReplyWriter
    ) -> None:
        """Answers one request; see `ports.HttpHandler`."""
        path = request.raw_path or request.path
        allowed = []
        for route in self.routes:
            segments = route.match(path)
            if segments is None:
                continue
            if _takes(route.method, request.method):
                _authorize(route, request)
                await route.action(Call(request, segments), reply)
                return
            allowed.append(route.method)
        if not allowed:
            raise _errors.HttpError(
                _errors.NOT_FOUND, "nothing is served here", path=request.path
            )
        raise _errors.HttpError(
            _errors.METHOD_NOT_ALLOWED,
            f"the path does not take {request.method}",
            allowed=sorted(allowed),
        )


def _authorize(route: Route, request: model.HttpRequest) -> None:
    if not route.token:
        return
    given = request.header("Authorization") or ""
    wanted = f"Bearer {route.token}"
    if not hmac.compare_digest(given.encode(), wanted.encode()):
        raise _errors.HttpError(
            _errors.NOT_AUTHORIZED, "the bearer token is missing or wrong"
        )


def _takes(wanted: str, given: str) -> bool:
    return wanted in ("*", given) or (wanted == "GET" and given == "HEAD")
