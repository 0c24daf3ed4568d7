"""Guards against decision packages that depend on adapters' libraries."""

import ast
import pathlib
import re

import pytest

PACKAGE_FOLDER = pathlib.Path(__file__).parent.parent / "src" / "guavapulley"
ADAPTER_LIBRARIES = {
    "cheroot",
    "urllib3",
    "pynng",
    "msgpack",
    "cattrs",
    "eliot",
    "statsd",
    "click",
    "configparser",
    "httptools",
    "prometheus_client",
}
ALLOWED_IMPORTS = {
    "errors": set(),
    "model": {"errors"},
    "selectors": {"errors", "model"},
    "ports": {"errors", "model"},
    "lookup": {"errors", "model"},
    "steering": {"errors", "model", "selectors", "ports"},
    "membership": {"errors", "model", "ports"},
    "serving": {
        "errors",
        "model",
        "selectors",
        "ports",
        "steering",
        "membership",
        "lookup",
    },
    "consensus": {"errors", "model", "ports"},
    "control": {"errors", "model", "selectors", "ports", "consensus"},
    "fleet": {"errors", "model", "ports", "consensus"},
    "routing": {"errors", "model", "ports"},
    "forwarding": {"errors", "model", "ports", "routing"},
    "experiments": {"errors", "model", "ports", "routing", "forwarding"},
}


def imported_names(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


@pytest.mark.parametrize("package", ALLOWED_IMPORTS)
def test_package_imports_only_allowed_packages(package):
    for path in (PACKAGE_FOLDER / package).glob("*.py"):
        for name in imported_names(path):
            parts = name.split(".")
            assert parts[0] not in ADAPTER_LIBRARIES, (path, name)
            if parts[0] == "guavapulley":
                assert parts[1] in ALLOWED_IMPORTS[package] | {package}, (
                    path,
                    name,
                )


# Names of the users' platform, which only the folder `platform` may contain.
PLATFORM_NAMES = re.compile(
    r"Instances\.|Config\.(Replace|Update|Read)|Evacuations\."
    r"|Expect-Instance|Not-Executed|Response-Signature|Server-Load"
    r"|Affinity-Key|cold_remaining_s|traffic_split|resource_kind"
    r"|guavapulley_platform",
    re.IGNORECASE,
)


def test_source_contains_no_names_of_the_platform():
    for path in PACKAGE_FOLDER.rglob("*.py"):
        assert not PLATFORM_NAMES.search(path.read_text()), path


def test_platform_folder_does_not_shadow_the_standard_module():
    root = PACKAGE_FOLDER.parent.parent
    assert not (root / "platform" / "__init__.py").exists()
