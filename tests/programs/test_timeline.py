"""Guards against timelines that show an effect before its cause."""

import pathlib

from click import testing
import pytest

from guavapulley.programs import _cli
from guavapulley.programs import _timeline

LOGS = pathlib.Path(__file__).parent / "logs"
FILES = [str(LOGS / "entry.log"), str(LOGS / "control.log")]

CASES = {
    "all": [],
    "request": ["--request", "r1"],
    "revision": ["--revision", "12"],
    "upstream": ["--upstream", "br-3"],
    "entry": ["--entry", "pb-1"],
    "event": ["--event", "claim:*"],
}


def run_timeline(*arguments):
    runner = testing.CliRunner()
    return runner.invoke(_cli.cli, ["timeline", *arguments])


@pytest.mark.parametrize("name", CASES)
@pytest.mark.parametrize("files", [FILES, FILES[::-1]])
def test_text_does_not_depend_on_the_order_of_files(name, files, golden):
    result = run_timeline(*files, *CASES[name])
    assert result.exit_code == 0
    golden(f"timeline-{name}.txt", result.stdout)
    assert "1 lines skipped" in result.stderr


def test_page_is_escaped(tmp_path, golden):
    page = tmp_path / "page.html"
    assert run_timeline(*FILES, "--html", str(page)).exit_code == 0
    text = page.read_text()
    golden("timeline.html", text)
    assert "<script" not in text


def test_events_of_one_process_keep_their_order():
    readers = [_timeline.LogReader(pathlib.Path(path)) for path in FILES]
    names = [
        event.name
        for event in _timeline.merge(readers)
        if event.process == "pb-1/entry"
    ]
    assert names[-2:] == ["request:answered", "configuration:confirmed"]


def test_absent_log_is_an_error_without_traceback(tmp_path):
    result = run_timeline(str(tmp_path / "absent.log"))
    assert result.exit_code == 1
    assert result.stderr.startswith("Error: LOG_UNREADABLE")
