"""HTTP requests of callers, upstreams and operators."""

from typing import Protocol

from guavapulley import model
from guavapulley.ports import _upstreams


class HttpHandler(Protocol):
    """Handles HTTP requests, one task for each."""

    async def handle(
        self, request: model.HttpRequest, reply: _upstreams.ReplyWriter
    ) -> None:
        """Answers one request; returns when the reply is whole.

        Raises:
            GuavapulleyError: Sent as a JSON error when the reply has not been
                started.
        """
