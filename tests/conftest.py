"""Fixtures shared by all tests."""

import pathlib

import pytest
from trio._core import _run as trio_scheduler

from guavapulley.programs import _addresses

SCHEDULER_SEED = 1
KNOWN_RED_PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_red():
    """Returns the IDs of the tests that fail for a fault not fixed yet."""
    if not KNOWN_RED_PATH.exists():
        return set()
    lines = KNOWN_RED_PATH.read_text().splitlines()
    return {line for line in lines if line and line[0] not in "# "}


def pytest_collection_modifyitems(items):
    """Marks the listed tests as expected to fail; they still run."""
    known_red = read_known_red()
    for test in items:
        if test.nodeid in known_red:
            test.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt"))


def pytest_terminal_summary(terminalreporter):
    """Prints the IDs of the listed tests."""
    for test_id in sorted(read_known_red()):
        terminalreporter.write_line(f"known red: {test_id}")


@pytest.fixture(autouse=True)
def repeatable_scheduler(monkeypatch):
    """Makes the order in which trio runs tasks depend on a seed only.

    trio shuffles runnable tasks, so the seed of a test alone does not determine
    its schedule. trio has this switch for Hypothesis and no public one.
    """
    monkeypatch.setattr(trio_scheduler, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    trio_scheduler._r.seed(SCHEDULER_SEED)


@pytest.fixture
def free_port():
    """Returns a function that returns an unused TCP port on loopback."""
    return lambda: _addresses.free_address("127.0.0.1").port
