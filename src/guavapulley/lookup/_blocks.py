"""Longest-prefix matching of caller addresses in compact arrays.

The blocks of each prefix length are stored in sorted arrays. An IPv4 block
takes 6 bytes and an IPv6 block 18 bytes. A dict of objects for 2.4 million
blocks would exceed the 128 MB that a node may use. A lookup searches the prefix
lengths in use from the longest to the shortest.
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

# Regions are stored as unsigned 16-bit indexes.
MAX_REGIONS = 65_536
_LOW_64_BITS = (1 << 64) - 1


@attrs.define
class _PrefixBlocks:
    """The blocks of one prefix length of one IP version, sorted by address.

    IPv6 addresses are split into two 64-bit halves, because an array cannot
    hold 128-bit items. Blocks with equal high halves are sorted by the low
    halves.

    Attributes:
        high: IPv4 addresses, or high halves of IPv6 addresses.
        low: Low halves of IPv6 addresses; None for IPv4.
        regions: Region indexes of the blocks.
    """

    high: "array[int]"
    low: "array[int] | None"
    regions: "array[int]" = attrs.field(factory=lambda: array("H"))

    def find_position(self, start: int) -> tuple[int, bool]:
        """Finds a block by its first address.

        Args:
            start: First address of the block.

        Returns:
            The position of the block or the one at which to insert it, and
            whether the block exists.
        """
        if self.low is None:
            position = bisect.bisect_left(self.high, start)
            return position, position < len(self.high) and self.high[
                position
            ] == start
        high, low = start >> 64, start & _LOW_64_BITS
        first_position = bisect.bisect_left(self.high, high)
        end_position = bisect.bisect_right(self.high, high, first_position)
        position = bisect.bisect_left(
            self.low, low, first_position, end_position
        )
        return position, position < end_position and self.low[position] == low

    def insert(self, position: int, start: int, region: int) -> None:
        """Inserts a block.

        Args:
            position: Position that keeps the blocks sorted.
            start: First address of the block.
            region: Index of the region.
        """
        if self.low is None:
            self.high.insert(position, start)
        else:
            self.high.insert(position, start >> 64)
            self.low.insert(position, start & _LOW_64_BITS)
        self.regions.insert(position, region)

    def delete(self, position: int) -> None:
        """Deletes the block at a position."""
        del self.high[position]
        if self.low is not None:
            del self.low[position]
        del self.regions[position]


def _create_prefix_blocks(version: int) -> _PrefixBlocks:
    if version == 4:
        return _PrefixBlocks(array("I"), None)
    return _PrefixBlocks(array("Q"), array("Q"))


class ClientBlockTable:
    """Table of client address blocks and their regions.

    >>> table = ClientBlockTable()
    >>> table.put(ipaddress.ip_network("10.0.0.0/8"), "pb")
    >>> table.put(ipaddress.ip_network("10.1.0.0/16"), "za")
    >>> table.find("10.1.2.3"), table.find("10.2.2.3"), table.find("192.0.2.1")
    ('za', 'pb', None)
    """

    def __init__(self) -> None:
        self.regions: list[str] = []
        self._region_indexes: dict[str, int] = {}
        # Blocks by IP version and prefix length, longest prefixes first.
        self._prefix_blocks: dict[int, dict[int, _PrefixBlocks]] = {
            4: {},
            6: {},
        }

    @classmethod
    def from_blocks(
        cls, blocks: Iterable[model.ClientBlock]
    ) -> "ClientBlockTable":
        """Creates a table of configured blocks.

        Args:
            blocks: Blocks whose names are in CIDR notation.

        Raises:
            ValueError: A name is not a network in CIDR notation.
            OverflowError: There are more regions than `MAX_REGIONS`.
        """
        parsed_blocks = (
            (ipaddress.ip_network(b.name), b.region) for b in blocks
        )
        return cls.from_networks(parsed_blocks)

    @classmethod
    def from_networks(
        cls, networks: Iterable[tuple[Network, str]]
    ) -> "ClientBlockTable":
        """Creates a table of blocks; sorted input loads fastest.

        Args:
            networks: Pairs of a block and its region.

        Raises:
            OverflowError: There are more regions than `MAX_REGIONS`.
        """
        table = cls()
        for network, region in networks:
            table.put(network, region)
        return table

    def __len__(self) -> int:
        return sum(
            len(prefix_blocks.high)
            for blocks_by_prefix_length in self._prefix_blocks.values()
            for prefix_blocks in blocks_by_prefix_length.values()
        )

    def put(self, network: Network, region: str) -> None:
        """Adds a block or changes its region.

        Args:
            network: Address block.
            region: Name of the region.

        Raises:
            OverflowError: There are more regions than `MAX_REGIONS`.
        """
        index = self._region_index(region)
        blocks_by_prefix_length = self._prefix_blocks[network.version]
        if network.prefixlen not in blocks_by_prefix_length:
            blocks_by_prefix_length[network.prefixlen] = _create_prefix_blocks(
                network.version
            )
            longest_first = sorted(
                blocks_by_prefix_length.items(), reverse=True
            )
            self._prefix_blocks[network.version] = dict(longest_first)
        prefix_blocks = self._prefix_blocks[network.version][network.prefixlen]
        start = int(network.network_address)
        position, exists = prefix_blocks.find_position(start)
        if exists:
            prefix_blocks.regions[position] = index
        else:
            prefix_blocks.insert(position, start, index)

    def remove(self, network: Network) -> None:
        """Removes a block if it exists."""
        prefix_blocks = self._prefix_blocks[network.version].get(
            network.prefixlen
        )
        if prefix_blocks is None:
            return
        position, exists = prefix_blocks.find_position(
            int(network.network_address)
        )
        if exists:
            prefix_blocks.delete(position)

    def find(self, address: str) -> str | None:
        """Returns the region of the longest-prefix block with an address.

        Args:
            address: IP address as text.

        Returns:
            The region, or None if no block contains the address.

        Raises:
            ValueError: The text is not an IP address.
        """
        return next(self._matches(ipaddress.ip_address(address)), None)

    def _matches(self, address: Address) -> Iterator[str]:
        address_value = int(address)
        address_bits = address.max_prefixlen
        for prefix_length, prefix_blocks in self._prefix_blocks[
            address.version
        ].items():
            host_bits = address_bits - prefix_length
            position, exists = prefix_blocks.find_position(
                address_value >> host_bits << host_bits
            )
            if exists:
                yield self.regions[prefix_blocks.regions[position]]

    def _region_index(self, region: str) -> int:
        index = self._region_indexes.get(region)
        if index is None:
            index = len(self.regions)
            if index >= MAX_REGIONS:
                raise OverflowError(f"more than {MAX_REGIONS} regions")
            self.regions.append(region)
            self._region_indexes[region] = index
        return index
