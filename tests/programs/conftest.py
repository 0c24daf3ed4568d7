"""Fixtures for the tests of programs."""

import os
import pathlib

import pytest

FOLDER = pathlib.Path(__file__).parent / "golden"


@pytest.fixture
def golden():
    """Returns a function that compares text with a golden file.

    UPDATE_GOLDEN=1 writes the files anew; read the difference afterwards.
    """

    def check(name, text):
        path = FOLDER / name
        if os.environ.get("UPDATE_GOLDEN") == "1":
            path.write_text(text)
        assert text == path.read_text()

    return check
