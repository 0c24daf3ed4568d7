"""Guards against an edge node that starts slowly by unneeded imports."""

import json
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent.parent.parent
PROGRAM = """
import json, sys
sys.path[:0] = ["src", "platform"]
import guavapulley_platform
print(json.dumps(sorted(sys.modules)))
"""


@pytest.fixture(scope="module")
def imported_modules():
    finished = subprocess.run(
        [sys.executable, "-c", PROGRAM],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    )
    return set(json.loads(finished.stdout))


@pytest.mark.parametrize(
    "module",
    [
        "guavapulley.adapters.disk",
        "guavapulley.consensus",
        "guavapulley.fleet",
        "guavapulley.nodes.core",
        "guavapulley_platform._control",
    ],
)
def test_an_edge_node_does_not_import_what_only_core_nodes_use(
    imported_modules, module
):
    assert "guavapulley.nodes" in imported_modules
    assert module not in imported_modules
