"""Guards against findings of hunts that are missing from the list."""

import importlib.util
import pathlib
import sys

import pytest

PATH = pathlib.Path(__file__).parents[2] / "tools" / "hunts.py"


@pytest.fixture(scope="module")
def hunts():
    spec = importlib.util.spec_from_file_location("hunts", PATH)
    module = importlib.util.module_from_spec(spec)
    sys.modules["hunts"] = module
    spec.loader.exec_module(module)
    yield module
    del sys.modules["hunts"]


ENTRY = {
    "site": "scf-hq",
    "head": "0123456789abcdef",
    "days": [
        {"name": "quiet-1 --seed 1", "rules": {}, "fault": None},
        {"name": "mix --seed 2", "rules": {"SHIFT": 1, "DRAIN": 2}},
        {"name": "mix --seed 3", "fault": "no request was served"},
    ],
}


def test_each_day_with_a_problem_is_a_finding(hunts):
    findings = list(hunts.read_findings([ENTRY, {"days": []}]))
    assert [(finding.day, finding.problems) for finding in findings] == [
        ("mix --seed 2", "DRAIN 2, SHIFT 1"),
        ("mix --seed 3", "fault: no request was served"),
    ]


def test_an_entry_has_ended_if_it_has_an_end_time(hunts):
    # An entry copied before its hunt has ended would never be replaced by the
    # complete one.
    started_at = "2026-12-04T19:13:50Z"
    assert not hunts.has_ended({"at": [started_at, ""]})
    assert hunts.has_ended({"at": [started_at, "2026-12-04T19:37:00Z"]})


def test_a_day_named_on_the_page_is_explained(hunts):
    findings = hunts.read_findings([ENTRY])
    unexplained = hunts.unexplained_findings(
        findings, "`mix --seed 2`: a lost disk"
    )
    assert [finding.day for finding in unexplained] == ["mix --seed 3"]
