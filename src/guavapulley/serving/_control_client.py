"""Calls of an entry to the control replicas."""

from collections.abc import Sequence
from typing import TypeVar

import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports

T = TypeVar("T")

CONTROL_INVALID_REPLY = errors.register_code(
    "CONTROL_INVALID_REPLY",
    "A control replica sent a reply of an unexpected type.",
)

# Covers two round trips between regions and a disk sync. A replica that takes
# longer is more likely partitioned than overloaded.
ATTEMPT_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.1
# The reply to a watch arrives after the requested wait and one round trip.
WATCH_MARGIN_S = 1.0


class ControlClient:
    """`ports.ControlPlane` over the peer addresses of the replicas.

    Calls to the leader are retried at other replicas until they time out.
    Each call carries an ID that makes it idempotent, so a retry is safe.

    Args:
        dialer: Creates the clients of replicas.
        replicas: Peer addresses of the control replicas, from the settings.

    Attributes:
        clients: Clients of the replicas by address.
        leader: Replica that answered as the leader or was named as such; None
            if the leader is not known.
        watch_index: Selects the replica that is watched.
        probe_index: Selects the replica to call while no leader is known.
    """

    def __init__(
        self, dialer: ports.PeerDialer, replicas: Sequence[model.NodeAddress]
    ) -> None:
        self.replicas = list(replicas)
        self.clients = ports.PeerClientPool(dialer)
        self.leader: model.NodeAddress | None = None
        self.watch_index = 0
        self.probe_index = 0

    async def watch(
        self, request: model.WatchConfiguration
    ) -> model.WatchReply:
        """Waits for a newer configuration; see `ports.ControlPlane`."""
        address = self.replicas[self.watch_index % len(self.replicas)]
        client = self.clients.client(address)
        reply = await client.call(request, request.wait_s + WATCH_MARGIN_S)
        return _check_reply_type(reply, model.WatchReply)

    def switch_replica(self) -> None:
        """Selects the next replica for the following watches."""
        self.watch_index += 1

    async def claim_key(
        self, request: model.ClaimKey, timeout_s: float
    ) -> model.ClaimReply:
        """Claims an idempotency key on a majority."""
        reply = await self._call_leader(request, timeout_s)
        return _check_reply_type(reply, model.ClaimReply)

    async def record_outcome(
        self, request: model.RecordOutcome, timeout_s: float
    ) -> model.RecordReply:
        """Records the outcome of a claimed key on a majority."""
        reply = await self._call_leader(request, timeout_s)
        return _check_reply_type(reply, model.RecordReply)

    async def release_claim(
        self, request: model.ReleaseClaim, timeout_s: float
    ) -> model.RecordReply:
        """Releases a claim whose request certainly did not run."""
        reply = await self._call_leader(request, timeout_s)
        return _check_reply_type(reply, model.RecordReply)

    async def outcome(
        self, request: model.GetOutcome, timeout_s: float
    ) -> model.StoredOutcome | None:
        """Returns the outcome of a key by a majority read."""
        reply = await self._call_leader(request, timeout_s)
        return _check_reply_type(reply, model.ClaimReply).outcome

    async def lease_shares(
        self, request: model.LeaseShare, timeout_s: float
    ) -> model.LeaseShareReply:
        """Leases shares of links from the leader."""
        reply = await self._call_leader(request, timeout_s)
        return _check_reply_type(reply, model.LeaseShareReply)

    async def aclose(self) -> None:
        """Closes the connections to the replicas."""
        await self.clients.aclose()

    async def _call_leader(
        self, request: model.PeerMessage, timeout_s: float
    ) -> model.PeerMessage:
        deadline_at_s = trio.current_time() + timeout_s
        was_redirected = False
        while True:
            address = self.leader or self._next_replica()
            remaining_s = deadline_at_s - trio.current_time()
            try:
                reply = await self.clients.client(address).call(
                    request, min(ATTEMPT_TIMEOUT_S, remaining_s)
                )
            except ports.PeerError as error:
                self.leader = _leader_from_refusal(error)
                if trio.current_time() + RETRY_PAUSE_S >= deadline_at_s:
                    raise
            else:
                self.leader = address
                return reply
            # Only one redirection is followed without a pause. Otherwise
            # replicas that name each other would be called in a busy loop.
            call_named_leader = self.leader is not None and not was_redirected
            was_redirected = call_named_leader
            if not call_named_leader:
                await trio.sleep(RETRY_PAUSE_S)

    def _next_replica(self) -> model.NodeAddress:
        self.probe_index += 1
        return self.replicas[self.probe_index % len(self.replicas)]


def _leader_from_refusal(error: ports.PeerError) -> model.NodeAddress | None:
    """Returns the leader that a refusal names, or None."""
    host, _, port = str(error.details.get("leader", "")).rpartition(":")
    return model.NodeAddress(host, int(port)) if port.isdigit() else None


def _check_reply_type(reply: model.PeerMessage, expected_type: type[T]) -> T:
    if not isinstance(reply, expected_type):
        raise ports.PeerError(
            CONTROL_INVALID_REPLY,
            f"expected {expected_type.__name__}, got {type(reply).__name__}",
        )
    return reply
