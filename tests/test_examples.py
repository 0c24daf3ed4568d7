"""Guards against examples that the program rejects."""

import configparser
import pathlib

import pytest

from guavapulley.adapters import settings

EXAMPLES_FOLDER = pathlib.Path(__file__).parent.parent / "examples"
DEPLOYMENTS = sorted(folder.name for folder in EXAMPLES_FOLDER.iterdir())


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_steering_file_is_accepted(deployment):
    objects = settings.load_steering(
        EXAMPLES_FOLDER / deployment / "steering.ini"
    )
    assert len(objects) > 10


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
@pytest.mark.parametrize("role", settings.Role)
def test_settings_are_accepted(deployment, role, tmp_path):
    for name in ("cluster.key", "operator.token", "upstream.token"):
        (tmp_path / name).write_text("0123456789abcdef")
        (tmp_path / name).chmod(0o600)
    text = (EXAMPLES_FOLDER / deployment / f"{role}.ini").read_text()
    process_settings = settings.parse_process_settings(
        text, role, "x.ini", tmp_path
    )
    assert process_settings.statsd is not None


def test_settings_page_names_every_key_of_the_examples():
    page = (EXAMPLES_FOLDER.parent / "docs" / "settings.md").read_text()
    for deployment in DEPLOYMENTS:
        for path in (EXAMPLES_FOLDER / deployment).iterdir():
            parser = configparser.ConfigParser(delimiters="=")
            parser.read(path)
            for section in parser.sections():
                for key in parser[section]:
                    assert f"`{key}`" in page, (path, key)
