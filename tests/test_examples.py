"""Guards against examples that the program does not take."""

import configparser
import pathlib

import pytest

from guavapulley.adapters import settings

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
DEPLOYMENTS = sorted(folder.name for folder in EXAMPLES.iterdir())


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_steering_file_is_read(deployment):
    found = settings.load_steering(EXAMPLES / deployment / "steering.ini")
    assert len(found) > 10


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
@pytest.mark.parametrize("role", settings.Role)
def test_settings_are_read(deployment, role, tmp_path):
    for name in ("cluster.key", "operator.token", "upstream.token"):
        (tmp_path / name).write_text("0123456789abcdef")
        (tmp_path / name).chmod(0o600)
    text = (EXAMPLES / deployment / f"{role}.ini").read_text()
    found = settings.parse_process_settings(text, role, "x.ini", tmp_path)
    assert found.statsd is not None


def test_reference_names_every_key():
    page = (EXAMPLES.parent / "docs" / "settings.md").read_text()
    for deployment in DEPLOYMENTS:
        for path in (EXAMPLES / deployment).iterdir():
            parser = configparser.ConfigParser(delimiters="=")
            parser.read(path)
            for section in parser.sections():
                for key in parser[section]:
                    assert f"`{key}`" in page, (path, key)
