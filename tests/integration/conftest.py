"""Fixtures of the integration tests."""

import os
import shlex
import sys

import pytest
import trio

from tests.integration import deployment

# Command line of another executable to test, such as the file of a release.
EXECUTABLE = os.environ.get("GUAVAPULLEY_EXECUTABLE", "")


@pytest.fixture
async def system(tmp_path, free_port):
    """Yields a deployment without processes; kills those started in it."""
    async with trio.open_nursery() as nursery:
        command = shlex.split(EXECUTABLE)
        deployed = deployment.Deployment(
            tmp_path,
            nursery,
            free_port,
            tuple(command) or (sys.executable, "-m", "guavapulley"),
        )
        try:
            yield deployed
        finally:
            deployed.kill_all()
            nursery.cancel_scope.cancel()
