"""Fixtures of the integration tests."""

import pytest
import trio

from tests.integration import deployment


@pytest.fixture
async def system(tmp_path, free_port):
    """Yields a deployment without processes; ends those it started."""
    async with trio.open_nursery() as nursery:
        running = deployment.Deployment(tmp_path, nursery, free_port)
        try:
            yield running
        finally:
            running.end()
            nursery.cancel_scope.cancel()
