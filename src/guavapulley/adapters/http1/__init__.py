"""HTTP/1.1 with trio and httptools, one task for each connection."""

from guavapulley.adapters.http1._body_budget import BodyBudget
from guavapulley.adapters.http1._client import Http1Client
from guavapulley.adapters.http1._headers import end_to_end_headers
from guavapulley.adapters.http1._server import AnswerHandler
from guavapulley.adapters.http1._server import ServerState
from guavapulley.adapters.http1._server import serve_http1

__all__ = [
    "AnswerHandler",
    "BodyBudget",
    "Http1Client",
    "ServerState",
    "end_to_end_headers",
    "serve_http1",
]
