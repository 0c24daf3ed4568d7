"""Fixtures shared by all tests."""

import socket

import pytest
from trio._core import _run as trio_scheduler

SCHEDULER_SEED = 1


@pytest.fixture(autouse=True)
def repeatable_scheduler(monkeypatch):
    """Makes trio run tasks in an order that depends on a seed only.

    trio shuffles runnable tasks, so a seed of a test would not fix its
    schedule. trio offers this switch to Hypothesis and has no public one.
    """
    monkeypatch.setattr(trio_scheduler, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    trio_scheduler._r.seed(SCHEDULER_SEED)


@pytest.fixture
def free_port():
    """Returns a function that finds an unused TCP port on loopback."""

    def find() -> int:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            return probe.getsockname()[1]

    return find
