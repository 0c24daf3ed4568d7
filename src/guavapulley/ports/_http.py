"""The port by which the HTTP server passes on requests."""

from typing import Protocol

from guavapulley import model
from guavapulley.ports import _upstreams


class HttpHandler(Protocol):
    """Handles HTTP requests, each in a task of its own."""

    async def handle(
        self, request: model.HttpRequest, reply: _upstreams.ReplyWriter
    ) -> None:
        """Answers a request and returns when the reply is complete.

        Raises:
            GuavapulleyError: The request failed. The server sends the error as
                JSON if the reply has not been started.
        """
