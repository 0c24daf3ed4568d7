"""Fixtures for the tests of programs."""

import itertools
import os
import pathlib
import shlex
import uuid

from click import testing
import pytest
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import http
from guavapulley.adapters import memory
from guavapulley.programs import _cli as cli

GOLDEN_FOLDER = pathlib.Path(__file__).parent / "golden"


@pytest.fixture
def golden():
    """Returns a function that compares text with a golden file.

    UPDATE_GOLDEN=1 overwrites the files; review the difference afterwards.
    """

    def compare(name, text):
        path = GOLDEN_FOLDER / name
        if os.environ.get("UPDATE_GOLDEN") == "1":
            path.write_text(text)
        assert text == path.read_text()

    return compare


TOKEN = "operator-token-0123456789"


def _upstreams():
    for region, in_flight in (("pb", 4), ("za", 1)):
        for number in (1, 2):
            yield model.UpstreamRecord(
                f"ls-{region}-{number}",
                "line-status",
                model.NodeAddress("10.0.0.1", 8000 + number),
                region,
                f"{region}-a",
                6,
                330,
                labels={"rack": str(number)},
                load=model.LoadReport(in_flight),
                age_s=0.4,
            )


@pytest.fixture
def admin():
    """Returns an administration service of a small deployment."""
    service = model.Service("line-status", model.TrafficClass.SHORT)
    objects = (model.LinkCap("pb za", 280.0), service)
    return memory.MemoryAdmin(
        model.Configuration(7, objects),
        upstream_records=tuple(_upstreams()),
        entry_records=(
            model.EntryRecord(
                "pb-1",
                "pb",
                "pb-a",
                model.NodeAddress("10.0.0.1", 8080),
                model.NodeAddress("10.0.0.1", 9080),
                1,
                2,
                model.EntryState.ALIVE,
                7,
                {"ls-pb-1": 2},
            ),
        ),
    )


@pytest.fixture
def console(admin, tmp_path, monkeypatch):
    """Returns an async function that runs commands and records their output.

    The commands call HTTP servers on loopback, all of which serve `admin`.
    """
    token = tmp_path / "token"
    token.write_text(TOKEN)
    token.chmod(0o600)
    numbers = itertools.count(1)
    monkeypatch.setattr(uuid, "uuid4", lambda: f"id-{next(numbers)}")
    monkeypatch.chdir(tmp_path)

    async def run_commands(*commands, servers=1, dead_port=None):
        runner = testing.CliRunner(
            env={
                "GUAVAPULLEY_TOKEN_FILE": str(token),
                "GUAVAPULLEY_OPERATOR": "jana",
            }
        )
        text, codes = "", []
        async with trio.open_nursery() as nursery:
            frontend = http.AdminFrontend(admin, TOKEN, ports.NullEventLog())
            http_servers = [
                await nursery.start(
                    http.serve_http,
                    model.NodeAddress("127.0.0.1", 0),
                    frontend,
                    ports.NullEventLog(),
                )
                for _ in range(servers)
            ]
            addresses = [str(server.address) for server in http_servers]
            if dead_port is not None:
                addresses.insert(0, f"127.0.0.1:{dead_port}")
            runner.env["GUAVAPULLEY_CONTROL"] = ",".join(addresses)
            for command in commands:
                result = await trio.to_thread.run_sync(
                    runner.invoke, cli.cli, shlex.split(command)
                )
                if result.exception and not isinstance(
                    result.exception, SystemExit
                ):
                    raise result.exception
                text += f"$ guavapulley {command}\n{result.output}"
                text += f"(exit code {result.exit_code})\n\n"
                codes.append(result.exit_code)
            nursery.cancel_scope.cancel()
        for number, address in enumerate(addresses, 1):
            text = text.replace(address, f"127.0.0.1:PORT{number}")
        return codes, text

    return run_commands
