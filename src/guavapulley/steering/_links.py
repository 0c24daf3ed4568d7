"""Token buckets for the shares of an entry in the links between regions."""

from collections.abc import Iterator

import attrs
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.steering import _errors

# Fractions of the share. Rate and burst of a bucket add up to the share, so
# that no more than the share is sent in any window of 1 s.
RATE_FRACTION = 0.9
BURST_FRACTION = 0.1
# Fraction of each cap that is never leased but split among all possible
# entries.
FLOOR_FRACTION = 0.2
# Fraction of a burst that bulk work leaves to short work.
BULK_RESERVE_FRACTION = 0.25
# Time over which demand is averaged; equal to the duration of a lease.
DEMAND_WINDOW_S = 2.0
# Allows the demand to grow until the next renewal of the lease.
DEMAND_GROWTH_FACTOR = 1.25
BYTES_PER_MBIT = 125_000


@attrs.define
class LinkBucket:
    """Token bucket of one direction of a link, in bytes.

    Attributes:
        tokens: Bytes that may be sent now; negative after an answer that was
            longer than expected.
        updated_s: Time of the last update on trio's clock.
        granted_bytes_per_s: Leased share.
        granted_until_s: End of the lease on trio's clock.
        demanded_bytes: Bytes requested since the last report of demand.
        demand_since_s: Time of that report.
        was_blocked: Whether a request was refused since that report.
        short_lock: Lock that serves waiting short senders in order.
        bulk_lock: Lock that serves waiting bulk senders in order. It is
            separate, so that short work does not wait behind bulk work.
    """

    tokens: float
    updated_s: float
    granted_bytes_per_s: float = 0.0
    granted_until_s: float = 0.0
    demanded_bytes: float = 0.0
    demand_since_s: float = 0.0
    was_blocked: bool = False
    short_lock: trio.StrictFIFOLock = attrs.field(factory=trio.StrictFIFOLock)
    bulk_lock: trio.StrictFIFOLock = attrs.field(factory=trio.StrictFIFOLock)

    def share(self, floor_bytes_per_s: float, now_s: float) -> float:
        """Returns the share in bytes per second.

        Args:
            floor_bytes_per_s: Share without a lease.
            now_s: Current time on trio's clock.
        """
        leased = (
            self.granted_bytes_per_s if now_s < self.granted_until_s else 0.0
        )
        return floor_bytes_per_s + leased

    def update(self, floor_bytes_per_s: float, now_s: float) -> float:
        """Adds the tokens earned since the last update.

        Args:
            floor_bytes_per_s: Share without a lease.
            now_s: Current time on trio's clock.

        Returns:
            The capacity of the bucket in bytes.
        """
        lease_s = min(now_s, self.granted_until_s) - self.updated_s
        earned_bytes = floor_bytes_per_s * (now_s - self.updated_s)
        earned_bytes += self.granted_bytes_per_s * max(0.0, lease_s)
        burst = BURST_FRACTION * self.share(floor_bytes_per_s, now_s)
        self.tokens = min(burst, self.tokens + RATE_FRACTION * earned_bytes)
        self.updated_s = now_s
        return burst


@attrs.frozen
class Reservation:
    """Bytes that are charged to a link before they are sent.

    Attributes:
        source: Region that sends.
        target: Region that receives.
        reserved: Number of charged bytes.
    """

    source: str
    target: str
    reserved: int


class LinkShares:
    """Shares of one entry in the links between regions.

    A link without a cap in the configuration is not limited.
    """

    def __init__(self, view: ports.SteeringView) -> None:
        self.view = view
        self.buckets: dict[tuple[str, str], LinkBucket] = {}
        self.configuration: model.Configuration | None = None
        self.caps: dict[str, model.LinkCap] = {}

    def floor_bytes_per_s(self, source: str, target: str) -> float | None:
        """Returns the share without a lease, or None without a cap."""
        cap = self._cap(source, target)
        if cap is None:
            return None
        cap_bytes_per_s = cap.mbit_per_s * BYTES_PER_MBIT
        return FLOOR_FRACTION * cap_bytes_per_s / cap.max_entries

    def may_send(self, region: str, other: str, *, bulk: bool = False) -> bool:
        """Returns whether both directions of a link have tokens to send.

        Args:
            region: Region of the entry.
            other: Region of the upstream.
            bulk: Whether the request must leave the reserve to short work.
        """
        reserve_fraction = BULK_RESERVE_FRACTION if bulk else 0.0
        for source, target in ((region, other), (other, region)):
            floor_bytes_per_s = self.floor_bytes_per_s(source, target)
            if floor_bytes_per_s is None:
                continue
            bucket = self._bucket(source, target)
            burst = bucket.update(floor_bytes_per_s, trio.current_time())
            if bucket.tokens <= reserve_fraction * burst:
                bucket.was_blocked = True
                return False
        return True

    async def reserve(
        self, source: str, target: str, size: int, *, bulk: bool = False
    ) -> Reservation:
        """Waits until bytes may be sent, and charges them in advance.

        Args:
            source: Region that sends.
            target: Region that receives.
            size: Number of bytes to send.
            bulk: Whether to leave the reserve to short work.

        Returns:
            The reservation, to be settled when the actual size is known.

        Raises:
            SteeringError: The share allows fewer bytes in 1 s; such an answer
                must be paced.
        """
        floor_bytes_per_s = self.floor_bytes_per_s(source, target)
        if floor_bytes_per_s is None:
            return Reservation(source, target, size)
        bucket = self._bucket(source, target)
        if size > bucket.share(floor_bytes_per_s, trio.current_time()):
            raise _errors.SteeringError(
                _errors.LINK_CAP,
                f"{size} bytes exceed what the link share allows in 1 s",
                not_run=True,
                source=source,
                target=target,
            )
        await self.pace(source, target, size, bulk=bulk)
        return Reservation(source, target, size)

    def settle(self, reservation: Reservation, size: int) -> None:
        """Corrects the charge of a reservation to the bytes actually sent.

        Args:
            reservation: Reservation to settle.
            size: Number of bytes sent.
        """
        floor_bytes_per_s = self.floor_bytes_per_s(
            reservation.source, reservation.target
        )
        if floor_bytes_per_s is None:
            return
        bucket = self._bucket(reservation.source, reservation.target)
        burst = bucket.update(floor_bytes_per_s, trio.current_time())
        unused_bytes = reservation.reserved - size
        bucket.tokens = min(burst, bucket.tokens + unused_bytes)
        bucket.demanded_bytes = max(0.0, bucket.demanded_bytes - unused_bytes)

    async def pace(
        self, source: str, target: str, size: int, *, bulk: bool = False
    ) -> None:
        """Waits until a chunk of a stream may be sent, and charges it.

        Args:
            source: Region that sends.
            target: Region that receives.
            size: Number of bytes in the chunk.
            bulk: Whether to leave the reserve to short work.
        """
        if self.floor_bytes_per_s(source, target) is None:
            return
        bucket = self._bucket(source, target)
        bucket.demanded_bytes += size
        reserve_fraction = BULK_RESERVE_FRACTION if bulk else 0.0
        remaining_bytes = float(size)
        while remaining_bytes > 0:
            remaining_bytes -= await self._spend(
                bucket, (source, target), remaining_bytes, reserve_fraction
            )

    async def _spend(
        self,
        bucket: LinkBucket,
        direction: tuple[str, str],
        size: float,
        reserve_fraction: float,
    ) -> float:
        """Spends at most one burst of tokens and returns their number."""
        lock = bucket.bulk_lock if reserve_fraction else bucket.short_lock
        async with lock:
            while True:
                now_s = trio.current_time()
                floor_bytes_per_s = self.floor_bytes_per_s(*direction)
                if floor_bytes_per_s is None:
                    return size
                burst = bucket.update(floor_bytes_per_s, now_s)
                chunk_bytes = min(size, burst * (1 - reserve_fraction))
                missing_bytes = (
                    chunk_bytes + reserve_fraction * burst - bucket.tokens
                )
                # The tolerance keeps rounding errors from delaying a full
                # bucket.
                if missing_bytes <= 1e-6 * burst:
                    bucket.tokens -= chunk_bytes
                    return chunk_bytes
                rate = RATE_FRACTION * bucket.share(floor_bytes_per_s, now_s)
                await trio.sleep(max(missing_bytes / rate, 1e-4))

    def demands(self) -> tuple[model.ShareDemand, ...]:
        """Returns and resets the demand since the last call.

        The demand of a link is in bytes per second; it is sent with the
        request for the next lease.
        """
        return tuple(self._demands())

    def _demands(self) -> Iterator[model.ShareDemand]:
        now_s = trio.current_time()
        for (source, target), bucket in self.buckets.items():
            elapsed_s = max(now_s - bucket.demand_since_s, 1e-3)
            rate = bucket.demanded_bytes / max(elapsed_s, DEMAND_WINDOW_S / 2)
            floor_bytes_per_s = self.floor_bytes_per_s(source, target)
            if bucket.was_blocked and floor_bytes_per_s is not None:
                # The sizes of refused requests are unknown.
                rate = max(rate, bucket.share(floor_bytes_per_s, now_s))
            bucket.was_blocked = False
            bucket.demanded_bytes = 0.0
            bucket.demand_since_s = now_s
            yield model.ShareDemand(source, target, rate * DEMAND_GROWTH_FACTOR)

    def apply_grants(
        self, reply: model.LeaseShareReply, sent_at_s: float
    ) -> None:
        """Applies leased shares.

        Args:
            reply: Reply of the leader.
            sent_at_s: Time on trio's clock before the request was sent, at
                which the lease starts.
        """
        for grant in reply.grants:
            floor_bytes_per_s = self.floor_bytes_per_s(
                grant.source, grant.target
            )
            if floor_bytes_per_s is None:
                continue
            bucket = self._bucket(grant.source, grant.target)
            bucket.update(floor_bytes_per_s, trio.current_time())
            bucket.granted_bytes_per_s = grant.bytes_per_s
            bucket.granted_until_s = sent_at_s + reply.duration_s
            bucket.update(floor_bytes_per_s, trio.current_time())

    def _cap(self, source: str, target: str) -> model.LinkCap | None:
        configuration = self.view.configuration()
        if configuration is not self.configuration:
            self.configuration = configuration
            self.caps = {
                cap.name: cap
                for cap in configuration.objects_of_kind("link")
                if isinstance(cap, model.LinkCap)
            }
        return self.caps.get(" ".join(sorted((source, target))))

    def _bucket(self, source: str, target: str) -> LinkBucket:
        key = (source, target)
        if key not in self.buckets:
            now_s = trio.current_time()
            # The bucket starts empty, because an earlier process of this entry
            # may just have spent a burst.
            self.buckets[key] = LinkBucket(0.0, now_s, demand_since_s=now_s)
        return self.buckets[key]
