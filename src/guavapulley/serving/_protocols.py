"""Protocols of steering, membership and the server for request handling."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import Protocol
from typing import TypeVar

from guavapulley import model

T = TypeVar("T")
# Returns the Unix time in seconds. Only the age of idempotency keys depends on
# it.
UnixClock = Callable[[], float]


class Steerer(Protocol):
    """Admits requests and chooses their upstreams."""

    async def run(
        self,
        request: model.SteeredRequest,
        service: model.Service,
        attempt: Callable[[model.UpstreamRecord], Awaitable[T]],
    ) -> T:
        """Makes attempts until one succeeds, and cancels the others.

        Args:
            request: The request.
            service: Service of the request.
            attempt: Sends the request to an upstream and returns its answer.

        Raises:
            GuavapulleyError: The request was refused, or the last attempt
                failed with `ports.UpstreamError`.
        """

    def explain(self, request_id: str) -> Any:
        """Returns the steering decision of a recent request.

        Returns:
            The decision, or None if it is no longer stored.
        """

    def in_flight(self) -> dict[str, int]:
        """Returns the number of this entry's requests in flight by upstream."""

    def claims(self) -> dict[str, int]:
        """Returns the number of claimed slots by `SERVICE/REGION`."""


class Links(Protocol):
    """This entry's shares of the links between regions."""

    async def reserve(
        self, source: str, target: str, size: int, *, bulk: bool = False
    ) -> Any:
        """Charges bytes to a share before they are sent.

        Waits until the share allows the bytes.

        Args:
            source: Region that sends.
            target: Region that receives.
            size: Number of bytes.
            bulk: Whether the bytes belong to a bulk request.

        Returns:
            A reservation for `settle`.

        Raises:
            SteeringError: The link cannot carry the bytes.
        """

    def settle(self, reservation: Any, size: int) -> None:
        """Replaces the reserved bytes by the number that was sent."""

    async def pace(
        self, source: str, target: str, size: int, *, bulk: bool = False
    ) -> None:
        """Waits until the share allows bytes of a stream, and charges them."""


class UpstreamRegistry(Protocol):
    """Registry of the upstreams that were announced here or gossiped."""

    def announce(self, record: model.UpstreamRecord) -> None:
        """Registers an upstream, or renews its complete record.

        Raises:
            GuavapulleyError: The record is invalid or superseded.
        """

    def renew(
        self,
        upstream: str,
        incarnation: int,
        sequence: int,
        load: model.LoadReport | None,
    ) -> None:
        """Renews the record of a registered upstream.

        Args:
            upstream: Name of the upstream.
            incarnation: Incarnation of its process.
            sequence: Sequence number of the renewal.
            load: Load report of the upstream, if any.

        Raises:
            GuavapulleyError: The upstream must announce itself again, or a
                later incarnation of it is registered.
        """

    def leave(self, upstream: str, incarnation: int) -> None:
        """Marks an upstream as leaving and notifies the other entries.

        Raises:
            GuavapulleyError: The upstream is not registered, or a later
                incarnation of it is.
        """

    def record_dispatch_result(self, upstream: str, succeeded: bool) -> None:
        """Records whether a dispatch to an upstream succeeded."""


class Member(Protocol):
    """Gossiped record of this entry."""

    def set_state(self, state: model.EntryState) -> None:
        """Sets the state; `LEAVING` is sent to all entries at once."""

    def set_status(
        self,
        revision: int,
        in_flight: dict[str, int],
        claims: dict[str, int],
    ) -> None:
        """Sets the status to gossip.

        Args:
            revision: Configuration revision in force.
            in_flight: Number of this entry's requests in flight by upstream.
            claims: Number of claimed slots by `SERVICE/REGION`.
        """


class StoppableServer(Protocol):
    """Server of the connections of callers."""

    def disable_keep_alive(self) -> None:
        """Makes each answer from now on close its connection."""

    async def stop(self) -> None:
        """Answers the received requests, closes idle connections and stops."""
