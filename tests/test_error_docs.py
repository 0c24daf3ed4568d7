"""Guards against error codes that docs/errors.md does not explain.

UPDATE_GOLDEN=1 regenerates the table of the page.
"""

import importlib
import os
import pathlib
import pkgutil

import guavapulley
from guavapulley import errors

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "errors.md"
TABLE_HEAD = "| code | meaning |\n| --- | --- |\n"


def import_all_packages():
    for module in pkgutil.walk_packages(
        guavapulley.__path__, f"{guavapulley.__name__}."
    ):
        importlib.import_module(module.name)


def test_page_lists_exactly_the_registered_codes():
    import_all_packages()
    rows = (
        f"| `{code}` | {meaning} |\n"
        for code, meaning in sorted(errors.code_descriptions().items())
    )
    table = TABLE_HEAD + "".join(rows)
    text = PAGE.read_text()
    head = text[: text.index(TABLE_HEAD)]
    if os.environ.get("UPDATE_GOLDEN") == "1":
        PAGE.write_text(head + table)
    assert PAGE.read_text() == head + table
