"""Free addresses for processes that are started on this machine."""

import contextlib
import secrets
import socket

from guavapulley import model

# Below the ephemeral port range, from which operating systems take ports for
# outgoing connections and for listeners on port 0.
PORT_RANGE = range(20_000, 32_000)


def free_address(host: str) -> model.NodeAddress:
    """Returns an address on which no process listens.

    An ephemeral port could be assigned to another socket before the process
    listens on it.

    Args:
        host: Address of this machine.
    """
    while True:
        port = secrets.choice(PORT_RANGE)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, port))
            return model.NodeAddress(host, port)
