"""What request handling needs of steering, membership and the server."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import Protocol
from typing import TypeVar

from guavapulley import model

T = TypeVar("T")
# Unix time in seconds; only the age of idempotency keys is judged by it.
UnixClock = Callable[[], float]


class Steerer(Protocol):
    """Admits requests and chooses their upstreams."""

    async def run(
        self,
        request: model.SteeredRequest,
        service: model.Service,
        attempt: Callable[[model.UpstreamRecord], Awaitable[T]],
    ) -> T:
        """Runs attempts until one succeeds; cancels those that lose.

        Raises:
            GuavapulleyError: The request was refused, or the last attempt
                failed with `ports.UpstreamError`.
        """

    def explain(self, request_id: str) -> Any:
        """Returns why a recent request went where it did, or None."""

    def in_flight(self) -> dict[str, int]:
        """Returns the own requests in flight by upstream."""

    def claims(self) -> dict[str, int]:
        """Returns the claimed slots by `SERVICE/REGION`."""


class Links(Protocol):
    """Shares of the links between regions."""

    async def reserve(
        self, source: str, target: str, size: int, *, bulk: bool = False
    ) -> Any:
        """Charges bytes before they are sent; waits for the share.

        Raises:
            SteeringError: The link cannot carry the bytes.
        """

    def settle(self, reservation: Any, size: int) -> None:
        """Replaces the reserved bytes by those that were sent."""

    async def pace(
        self, source: str, target: str, size: int, *, bulk: bool = False
    ) -> None:
        """Waits until bytes of a stream may be sent, and charges them."""


class UpstreamRegistry(Protocol):
    """The upstreams that this entry knows."""

    def announce(self, record: model.UpstreamRecord) -> None:
        """Takes an announcement or a full renewal of an upstream.

        Raises:
            GuavapulleyError: The record makes no sense or is superseded.
        """

    def renew(
        self,
        upstream: str,
        incarnation: int,
        sequence: int,
        load: model.LoadReport | None,
    ) -> None:
        """Takes a renewal.

        Raises:
            GuavapulleyError: The upstream must announce itself.
        """

    def leave(self, upstream: str, incarnation: int) -> None:
        """Takes a departure and notifies the other entries.

        Raises:
            GuavapulleyError: The upstream is unknown.
        """

    def note_dispatch(self, upstream: str, succeeded: bool) -> None:
        """Takes the result of a dispatch."""


class Member(Protocol):
    """This entry, as the others see it."""

    def set_state(self, state: model.EntryState) -> None:
        """Changes the state; `LEAVING` is notified at once."""

    def set_status(
        self,
        revision: int,
        in_flight: dict[str, int],
        claims: dict[str, int],
    ) -> None:
        """Changes the revision, counts and claims to gossip."""


class StoppableServer(Protocol):
    """The server that callers are connected to."""

    def ask_to_close(self) -> None:
        """Lets every answer from now on end its connection."""

    async def stop(self) -> None:
        """Answers what has arrived, closes idle connections and stops."""
