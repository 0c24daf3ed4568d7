"""Guards against lookups that return the region of a wrong block."""

import ipaddress

from hypothesis import given
from hypothesis import strategies as st

from guavapulley import lookup

REGIONS = st.sampled_from(["pb", "za", "tn"])
# Addresses come from a narrow range, so that blocks overlap and repeat.
IPV4_NETWORKS = st.builds(
    lambda offset, prefix_length: ipaddress.ip_network(
        (0x0A000000 + offset, prefix_length), strict=False
    ),
    st.integers(0, 1023),
    st.integers(20, 32),
)
IPV6_NETWORKS = st.builds(
    lambda offset, prefix_length: ipaddress.ip_network(
        ((0x2001 << 112) + (offset << 60), prefix_length), strict=False
    ),
    st.integers(0, 1023),
    st.integers(32, 128),
)
CHANGES = st.lists(
    st.tuples(IPV4_NETWORKS | IPV6_NETWORKS, REGIONS | st.none()),
    min_size=1,
    max_size=40,
)
ADDRESSES = st.integers(0, 1023).map(
    lambda offset: ipaddress.ip_address(0x0A000000 + offset)
) | st.integers(0, 1023).map(
    lambda offset: ipaddress.ip_address((0x2001 << 112) + (offset << 60))
)


def find_expected_region(blocks, address):
    containing = [
        network
        for network in blocks
        if network.version == address.version and address in network
    ]
    if not containing:
        return None
    return blocks[max(containing, key=lambda network: network.prefixlen)]


@given(CHANGES, st.lists(ADDRESSES, min_size=1, max_size=20))
def test_the_longest_matching_block_wins_after_any_changes(changes, addresses):
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
        assert table.find(str(address)) == find_expected_region(blocks, address)
