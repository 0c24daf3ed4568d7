"""Fixtures of the integration tests."""

import os
import shlex
import sys

import pytest
import trio

from tests.integration import deployment

# Runs the tests with another executable, such as the one file of a release.
EXECUTABLE = os.environ.get("GUAVAPULLEY_EXECUTABLE", "")


@pytest.fixture
async def system(tmp_path, free_port):
    """Yields a deployment without processes; ends those it started."""
    async with trio.open_nursery() as nursery:
        command = shlex.split(EXECUTABLE)
        running = deployment.Deployment(
            tmp_path,
            nursery,
            free_port,
            tuple(command) or (sys.executable, "-m", "guavapulley"),
        )
        try:
            yield running
        finally:
            running.end()
            nursery.cancel_scope.cancel()
