"""HTTP by cheroot and urllib3."""

from guavapulley.adapters.http._errors import BAD_REQUEST
from guavapulley.adapters.http._errors import INTERNAL_ERROR
from guavapulley.adapters.http._errors import METHOD_NOT_ALLOWED
from guavapulley.adapters.http._errors import NOT_AUTHORIZED
from guavapulley.adapters.http._errors import NOT_FOUND
from guavapulley.adapters.http._errors import STATUS_BY_CODE
from guavapulley.adapters.http._errors import HttpError
from guavapulley.adapters.http._errors import error_answer
from guavapulley.adapters.http._errors import json_answer
from guavapulley.adapters.http._errors import send_answer
from guavapulley.adapters.http._limits import HttpLimits
from guavapulley.adapters.http._server import HttpServer
from guavapulley.adapters.http._server import ListenError
from guavapulley.adapters.http._server import serve_http
from guavapulley.adapters.http._upstream_client import UrllibUpstreamClient

__all__ = [
    "BAD_REQUEST",
    "INTERNAL_ERROR",
    "METHOD_NOT_ALLOWED",
    "NOT_AUTHORIZED",
    "NOT_FOUND",
    "STATUS_BY_CODE",
    "HttpError",
    "HttpLimits",
    "HttpServer",
    "ListenError",
    "UrllibUpstreamClient",
    "error_answer",
    "json_answer",
    "send_answer",
    "serve_http",
]
