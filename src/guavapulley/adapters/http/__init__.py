"""HTTP servers with cheroot and HTTP clients with urllib3."""

from guavapulley.adapters.http._admin import CHANGE_INVALID
from guavapulley.adapters.http._admin import KEY_UNKNOWN
from guavapulley.adapters.http._admin import REQUEST_UNKNOWN
from guavapulley.adapters.http._admin import AdminFrontend
from guavapulley.adapters.http._admin_client import ADMIN_UNREACHABLE
from guavapulley.adapters.http._admin_client import AdminCallError
from guavapulley.adapters.http._admin_client import AdminClient
from guavapulley.adapters.http._admin_codec import from_json
from guavapulley.adapters.http._admin_codec import to_json
from guavapulley.adapters.http._entry_api import ApiError
from guavapulley.adapters.http._entry_api import EntryApi
from guavapulley.adapters.http._entry_directory import EntryDirectory
from guavapulley.adapters.http._entry_frontend import EntryFrontend
from guavapulley.adapters.http._entry_frontend import EntryServices
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
from guavapulley.adapters.http._routes import Call
from guavapulley.adapters.http._routes import Route
from guavapulley.adapters.http._routes import Router
from guavapulley.adapters.http._server import HttpServer
from guavapulley.adapters.http._server import ListenError
from guavapulley.adapters.http._server import serve_http
from guavapulley.adapters.http._upstream_client import UrllibUpstreamClient

__all__ = [
    "ADMIN_UNREACHABLE",
    "BAD_REQUEST",
    "CHANGE_INVALID",
    "INTERNAL_ERROR",
    "KEY_UNKNOWN",
    "METHOD_NOT_ALLOWED",
    "NOT_AUTHORIZED",
    "NOT_FOUND",
    "REQUEST_UNKNOWN",
    "STATUS_BY_CODE",
    "AdminCallError",
    "AdminClient",
    "AdminFrontend",
    "ApiError",
    "Call",
    "EntryApi",
    "EntryDirectory",
    "EntryFrontend",
    "EntryServices",
    "HttpError",
    "HttpLimits",
    "HttpServer",
    "ListenError",
    "Route",
    "Router",
    "UrllibUpstreamClient",
    "error_answer",
    "from_json",
    "json_answer",
    "send_answer",
    "serve_http",
    "to_json",
]
