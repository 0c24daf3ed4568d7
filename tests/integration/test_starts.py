"""Guards against startup failures without a message and port conflicts."""

import pathlib
import socket

import pytest

REGIONS = ("pb",)

EPHEMERAL_PORT_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_free_ports_are_below_the_ephemeral_range(free_port):
    # The system may assign an ephemeral port to any program before the process
    # listens on it; the process then exits.
    if not EPHEMERAL_PORT_RANGE.exists():
        pytest.skip("the system does not state its ephemeral port range")
    first, _ = map(int, EPHEMERAL_PORT_RANGE.read_text().split())
    assert all(free_port() < first for _ in range(50))


@pytest.mark.processes
async def test_a_process_that_exits_at_startup_is_reported(system):
    await system.start_control(REGIONS)
    node = await system.add("entry-0", "entry", REGIONS[0], 31)
    system.write_settings()
    with socket.socket() as occupied:
        occupied.bind(("", node.http.port))
        occupied.listen()
        with pytest.raises(RuntimeError, match="entry-0 has exited"):
            await system.start("entry-0")
