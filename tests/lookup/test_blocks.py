"""Guards against callers being given the region of another block."""

import ipaddress

from hypothesis import given
from hypothesis import strategies as st

from guavapulley import lookup

REGIONS = st.sampled_from(["pb", "za", "tn"])
# A narrow range of addresses makes blocks overlap and repeat.
V4 = st.builds(
    lambda number, length: ipaddress.ip_network(
        (0x0A000000 + number, length), strict=False
    ),
    st.integers(0, 1023),
    st.integers(20, 32),
)
V6 = st.builds(
    lambda number, length: ipaddress.ip_network(
        ((0x2001 << 112) + (number << 60), length), strict=False
    ),
    st.integers(0, 1023),
    st.integers(32, 128),
)
CHANGES = st.lists(
    st.tuples(V4 | V6, REGIONS | st.none()), min_size=1, max_size=40
)
ADDRESSES = st.integers(0, 1023).map(
    lambda number: ipaddress.ip_address(0x0A000000 + number)
) | st.integers(0, 1023).map(
    lambda number: ipaddress.ip_address((0x2001 << 112) + (number << 60))
)


def expected_region(blocks, address):
    containing = [
        network
        for network in blocks
        if network.version == address.version and address in network
    ]
    if not containing:
        return None
    return blocks[max(containing, key=lambda network: network.prefixlen)]


@given(CHANGES, st.lists(ADDRESSES, min_size=1, max_size=20))
def test_longest_block_wins_after_any_changes(changes, addresses):
    table = lookup.ClientBlockTable()
    blocks = {}
    for network, region in changes:
        if region is None:
            table.remove(network)
            blocks.pop(network, None)
        else:
            table.put(network, region)
            blocks[network] = region
    assert len(table) == len(blocks)
    for address in addresses:
        assert table.find(str(address)) == expected_region(blocks, address)
