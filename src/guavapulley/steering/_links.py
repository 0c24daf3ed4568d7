"""Shares of the links between regions."""

from collections.abc import Iterator

import attrs
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.steering import _errors

# Rate and burst of a bucket add up to the share, so that no window of 1 s
# carries more than the share.
RATE_PART = 0.9
BURST_PART = 0.1
# Part of each cap that is never leased and belongs to all possible entries.
FLOOR_PART = 0.2
# Bulk work leaves this part of a burst to short work.
BULK_RESERVE_PART = 0.25
# Demand is averaged over this time; leases last as long.
DEMAND_WINDOW_S = 2.0
# Room for demand to grow until the next renewal.
DEMAND_GROWTH = 1.25
BYTES_PER_MBIT = 125_000


@attrs.define
class Bucket:
    """Token bucket of one way of a link, in bytes.

    Attributes:
        tokens: Bytes that may be sent now; negative after an answer that was
            longer than expected.
        updated_s: Time of the last update.
        granted: Leased share in bytes per second.
        granted_until_s: End of the lease.
        wanted: Bytes asked for since the last report of demand.
        wanted_since_s: Time of that report.
        blocked: Whether a request was refused since the last report.
        short_turn: Order of the short senders that wait for tokens.
        bulk_turn: Order of the bulk senders; apart, so that short work does
            not wait behind bulk work.
    """

    tokens: float
    updated_s: float
    granted: float = 0.0
    granted_until_s: float = 0.0
    wanted: float = 0.0
    wanted_since_s: float = 0.0
    blocked: bool = False
    short_turn: trio.StrictFIFOLock = attrs.field(factory=trio.StrictFIFOLock)
    bulk_turn: trio.StrictFIFOLock = attrs.field(factory=trio.StrictFIFOLock)

    def share(self, floor: float, now_s: float) -> float:
        """Returns the share in bytes per second."""
        leased = self.granted if now_s < self.granted_until_s else 0.0
        return floor + leased

    def update(self, floor: float, now_s: float) -> float:
        """Adds the tokens since the last update and returns the burst."""
        lease_s = min(now_s, self.granted_until_s) - self.updated_s
        earned = floor * (now_s - self.updated_s)
        earned += self.granted * max(0.0, lease_s)
        burst = BURST_PART * self.share(floor, now_s)
        self.tokens = min(burst, self.tokens + RATE_PART * earned)
        self.updated_s = now_s
        return burst


@attrs.frozen
class Reservation:
    """Bytes charged before they are sent."""

    source: str
    target: str
    reserved: int


class LinkShares:
    """Shares of one entry in the links between regions.

    A link without a cap in the configuration is not limited.
    """

    def __init__(self, view: ports.SteeringView) -> None:
        self.view = view
        self.buckets: dict[tuple[str, str], Bucket] = {}
        self.configuration: model.Configuration | None = None
        self.caps: dict[str, model.LinkCap] = {}

    def floor_bytes_per_s(self, source: str, target: str) -> float | None:
        """Returns the share without a lease; None for a link without cap."""
        cap = self._cap(source, target)
        if cap is None:
            return None
        whole = cap.mbit_per_s * BYTES_PER_MBIT
        return FLOOR_PART * whole / cap.max_entries

    def is_open(self, region: str, other: str, *, bulk: bool = False) -> bool:
        """Returns whether both ways of a link may carry a request now.

        Args:
            region: Region of the entry.
            other: Region of the upstream.
            bulk: Whether the request leaves the reserve to short work.
        """
        least = BULK_RESERVE_PART if bulk else 0.0
        for source, target in ((region, other), (other, region)):
            floor = self.floor_bytes_per_s(source, target)
            if floor is None:
                continue
            bucket = self._bucket(source, target)
            burst = bucket.update(floor, trio.current_time())
            if bucket.tokens <= least * burst:
                bucket.blocked = True
                return False
        return True

    async def reserve(
        self, source: str, target: str, size: int, *, bulk: bool = False
    ) -> Reservation:
        """Charges bytes before they are sent; waits for the share.

        Args:
            source: Region that sends.
            target: Region that receives.
            size: Bytes to send.
            bulk: Whether to leave the reserve to short work.

        Returns:
            The reservation, to be settled when the true size is known.

        Raises:
            SteeringError: More bytes than the present share carries in 1 s;
                such an answer must be paced.
        """
        floor = self.floor_bytes_per_s(source, target)
        if floor is None:
            return Reservation(source, target, size)
        bucket = self._bucket(source, target)
        if size > bucket.share(floor, trio.current_time()):
            raise _errors.SteeringError(
                _errors.LINK_CAP,
                f"{size} bytes exceed the share of the link",
                not_run=True,
                source=source,
                target=target,
            )
        await self.pace(source, target, size, bulk=bulk)
        return Reservation(source, target, size)

    def settle(self, reservation: Reservation, size: int) -> None:
        """Replaces the reserved bytes by those that were sent."""
        floor = self.floor_bytes_per_s(reservation.source, reservation.target)
        if floor is None:
            return
        bucket = self._bucket(reservation.source, reservation.target)
        burst = bucket.update(floor, trio.current_time())
        difference = reservation.reserved - size
        bucket.tokens = min(burst, bucket.tokens + difference)
        bucket.wanted = max(0.0, bucket.wanted - difference)

    async def pace(
        self, source: str, target: str, size: int, *, bulk: bool = False
    ) -> None:
        """Waits until bytes of a stream may be sent, and charges them.

        Args:
            source: Region that sends.
            target: Region that receives.
            size: Bytes of the chunk.
            bulk: Whether to leave the reserve to short work.
        """
        if self.floor_bytes_per_s(source, target) is None:
            return
        bucket = self._bucket(source, target)
        bucket.wanted += size
        least = BULK_RESERVE_PART if bulk else 0.0
        remaining = float(size)
        while remaining > 0:
            remaining -= await self._spend(
                bucket, (source, target), remaining, least
            )

    async def _spend(
        self, bucket: Bucket, way: tuple[str, str], size: float, least: float
    ) -> float:
        """Spends at most one usable burst and returns the bytes spent."""
        turn = bucket.bulk_turn if least else bucket.short_turn
        async with turn:
            while True:
                now_s = trio.current_time()
                floor = self.floor_bytes_per_s(*way)
                if floor is None:
                    return size
                burst = bucket.update(floor, now_s)
                part = min(size, burst * (1 - least))
                missing = part + least * burst - bucket.tokens
                # A bucket within rounding of its burst counts as full.
                if missing <= 1e-6 * burst:
                    bucket.tokens -= part
                    return part
                rate = RATE_PART * bucket.share(floor, now_s)
                await trio.sleep(max(missing / rate, 1e-4))

    def demands(self) -> tuple[model.ShareDemand, ...]:
        """Returns the demand since the last call, for the next lease."""
        return tuple(self._demands())

    def _demands(self) -> Iterator[model.ShareDemand]:
        now_s = trio.current_time()
        for (source, target), bucket in self.buckets.items():
            elapsed = max(now_s - bucket.wanted_since_s, 1e-3)
            rate = bucket.wanted / max(elapsed, DEMAND_WINDOW_S / 2)
            floor = self.floor_bytes_per_s(source, target)
            if bucket.blocked and floor is not None:
                # The bytes of refused requests are unknown.
                rate = max(rate, bucket.share(floor, now_s))
            bucket.blocked = False
            bucket.wanted = 0.0
            bucket.wanted_since_s = now_s
            yield model.ShareDemand(source, target, rate * DEMAND_GROWTH)

    def apply_grants(
        self, reply: model.LeaseShareReply, sent_at_s: float
    ) -> None:
        """Takes over leased shares.

        Args:
            reply: Answer of the leader.
            sent_at_s: Time on trio's clock before the request was sent; the
                lease counts from then.
        """
        for grant in reply.grants:
            floor = self.floor_bytes_per_s(grant.source, grant.target)
            if floor is None:
                continue
            bucket = self._bucket(grant.source, grant.target)
            bucket.update(floor, trio.current_time())
            bucket.granted = grant.bytes_per_s
            bucket.granted_until_s = sent_at_s + reply.duration_s
            bucket.update(floor, trio.current_time())

    def _cap(self, source: str, target: str) -> model.LinkCap | None:
        configuration = self.view.configuration()
        if configuration is not self.configuration:
            self.configuration = configuration
            self.caps = {
                cap.name: cap
                for cap in configuration.of_kind("link")
                if isinstance(cap, model.LinkCap)
            }
        return self.caps.get(" ".join(sorted((source, target))))

    def _bucket(self, source: str, target: str) -> Bucket:
        key = (source, target)
        if key not in self.buckets:
            now_s = trio.current_time()
            # Starts empty: an earlier process of this entry may have spent
            # its burst a moment ago.
            self.buckets[key] = Bucket(0.0, now_s, wanted_since_s=now_s)
        return self.buckets[key]
