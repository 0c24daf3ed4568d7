"""Guards against events that docs/events.md does not explain."""

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent
PAGE = ROOT / "docs" / "events.md"
SOURCE_FOLDERS = (ROOT / "src" / "guavapulley", ROOT / "platform")
EVENT_PATTERN = re.compile(r"[a-z]+:[a-z_]+")
ROW_PATTERN = re.compile(
    r"^\| `([a-z]+:[a-z_*]+)` \| ([^|]+) \| ([^|]*) \|$", re.M
)


def call_argument_texts(node):
    """Yields the constant arguments of a call, as text.

    A formatted string is yielded as its constant prefix and an asterisk.
    """
    if not isinstance(node, ast.Call):
        return
    for argument in node.args:
        if isinstance(argument, ast.Constant):
            yield str(argument.value)
        elif isinstance(argument, ast.JoinedStr):
            prefix = argument.values[0]
            if isinstance(prefix, ast.Constant):
                yield f"{prefix.value}*"


def assigned_or_returned_texts(node):
    """Yields the constant that a statement returns or assigns, as text."""
    if isinstance(node, ast.Return | ast.Assign) and isinstance(
        node.value, ast.Constant
    ):
        yield str(node.value.value)


def find_event_names():
    events = set()
    for folder in SOURCE_FOLDERS:
        for path in folder.rglob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                texts = {
                    *call_argument_texts(node),
                    *assigned_or_returned_texts(node),
                }
                events |= {
                    text
                    for text in texts
                    if EVENT_PATTERN.fullmatch(text.replace(":*", ":any"))
                }
    return events


def test_page_lists_exactly_the_events_of_the_code():
    rows = [match[0] for match in ROW_PATTERN.findall(PAGE.read_text())]
    assert rows == sorted(rows)
    assert set(rows) == find_event_names()
