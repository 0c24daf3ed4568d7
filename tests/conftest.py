"""Fixtures shared by all tests."""

import socket

import pytest


@pytest.fixture
def free_port():
    """Returns a function that finds an unused TCP port on loopback."""

    def find() -> int:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            return probe.getsockname()[1]

    return find
