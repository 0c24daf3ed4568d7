"""Longest-prefix match of caller addresses in compact arrays.

Sorted arrays for each prefix length hold the blocks, 6 bytes for an IPv4 block
and 18 for an IPv6 block, because a dict of objects for 2.4 million blocks does
not fit in the 128 MB that a node may spend. A look-up searches the prefix
lengths in use from the longest down.
"""

from array import array
import bisect
from collections.abc import Iterable
from collections.abc import Iterator
import ipaddress

import attrs

from guavapulley import model

Network = ipaddress.IPv4Network | ipaddress.IPv6Network
Address = ipaddress.IPv4Address | ipaddress.IPv6Address

# Regions are stored as 16-bit indexes.
MAX_REGIONS = 65_536
_LOW_64_BITS = (1 << 64) - 1


@attrs.define
class _Length:
    """The blocks of one prefix length of one IP version.

    IPv6 addresses are split into two 64-bit halves, because an array has no
    128-bit items; blocks of equal high halves are ordered by the low ones.
    """

    high: "array[int]"
    low: "array[int] | None"
    regions: "array[int]" = attrs.field(factory=lambda: array("H"))

    def position(self, start: int) -> tuple[int, bool]:
        """Returns where a block stands or belongs, and whether it is there."""
        if self.low is None:
            at = bisect.bisect_left(self.high, start)
            return at, at < len(self.high) and self.high[at] == start
        high, low = start >> 64, start & _LOW_64_BITS
        first = bisect.bisect_left(self.high, high)
        last = bisect.bisect_right(self.high, high, first)
        at = bisect.bisect_left(self.low, low, first, last)
        return at, at < last and self.low[at] == low

    def insert(self, at: int, start: int, region: int) -> None:
        """Inserts a block."""
        if self.low is None:
            self.high.insert(at, start)
        else:
            self.high.insert(at, start >> 64)
            self.low.insert(at, start & _LOW_64_BITS)
        self.regions.insert(at, region)

    def delete(self, at: int) -> None:
        """Deletes the block at a position."""
        del self.high[at]
        if self.low is not None:
            del self.low[at]
        del self.regions[at]


def _new_length(version: int) -> _Length:
    if version == 4:
        return _Length(array("I"), None)
    return _Length(array("Q"), array("Q"))


class ClientBlockTable:
    """Regions of client blocks.

    >>> table = ClientBlockTable()
    >>> table.put(ipaddress.ip_network("10.0.0.0/8"), "pb")
    >>> table.put(ipaddress.ip_network("10.1.0.0/16"), "za")
    >>> table.find("10.1.2.3"), table.find("10.2.2.3"), table.find("192.0.2.1")
    ('za', 'pb', None)
    """

    def __init__(self) -> None:
        self.regions: list[str] = []
        self._region_indexes: dict[str, int] = {}
        # Prefix lengths in use by IP version, longest first.
        self._lengths: dict[int, dict[int, _Length]] = {4: {}, 6: {}}

    @classmethod
    def from_blocks(
        cls, blocks: Iterable[model.ClientBlock]
    ) -> "ClientBlockTable":
        """Returns a table of configured blocks.

        Raises:
            ValueError: A name is no block in CIDR notation.
        """
        parsed = ((ipaddress.ip_network(b.name), b.region) for b in blocks)
        return cls.from_networks(parsed)

    @classmethod
    def from_networks(
        cls, networks: Iterable[tuple[Network, str]]
    ) -> "ClientBlockTable":
        """Returns a table of blocks; sorted input is fastest to load."""
        table = cls()
        for network, region in networks:
            table.put(network, region)
        return table

    def __len__(self) -> int:
        return sum(
            len(length.high)
            for lengths in self._lengths.values()
            for length in lengths.values()
        )

    def put(self, network: Network, region: str) -> None:
        """Adds a block or changes its region.

        Raises:
            OverflowError: There are more regions than `MAX_REGIONS`.
        """
        index = self._region_index(region)
        lengths = self._lengths[network.version]
        if network.prefixlen not in lengths:
            lengths[network.prefixlen] = _new_length(network.version)
            ordered = sorted(lengths.items(), reverse=True)
            self._lengths[network.version] = dict(ordered)
        length = self._lengths[network.version][network.prefixlen]
        start = int(network.network_address)
        at, found = length.position(start)
        if found:
            length.regions[at] = index
        else:
            length.insert(at, start, index)

    def remove(self, network: Network) -> None:
        """Removes a block if it is there."""
        length = self._lengths[network.version].get(network.prefixlen)
        if length is None:
            return
        at, found = length.position(int(network.network_address))
        if found:
            length.delete(at)

    def find(self, address: str) -> str | None:
        """Returns the region of the longest block that contains an address.

        Args:
            address: IP address as text.

        Raises:
            ValueError: The text is no IP address.
        """
        return next(self._matches(ipaddress.ip_address(address)), None)

    def _matches(self, address: Address) -> Iterator[str]:
        number = int(address)
        bits = address.max_prefixlen
        for prefix_length, length in self._lengths[address.version].items():
            host_bits = bits - prefix_length
            at, found = length.position(number >> host_bits << host_bits)
            if found:
                yield self.regions[length.regions[at]]

    def _region_index(self, region: str) -> int:
        index = self._region_indexes.get(region)
        if index is None:
            index = len(self.regions)
            if index >= MAX_REGIONS:
                raise OverflowError(f"more than {MAX_REGIONS} regions")
            self.regions.append(region)
            self._region_indexes[region] = index
        return index
