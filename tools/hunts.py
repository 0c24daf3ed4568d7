"""Runs hunts of the users' bench in the background and lists open findings.

    python tools/hunts.py play --bench PROGRAM --days 40 COMMIT SITE...
    python tools/hunts.py list

A hunt runs the bench on one deployment for a number of seeded days. `play`
clones COMMIT beside the checkout, because edits during a hunt would change its
results. `list` copies the journal entries of ended hunts from the clones to the
journal of the checkout, and prints each day with a violated rule or a fault
that docs/findings.md does not name. Its exit status is 1 if there is such a
day, else 0.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import json
import pathlib
import shutil
import subprocess
import sys
from typing import Any

import attrs
import click

ROOT = pathlib.Path(__file__).resolve().parent.parent
JOURNAL = ROOT / "journal"
FINDINGS = ROOT / "docs" / "findings.md"
CLONES = ROOT.parent / "hunts"
# Number of parallel jobs of a hunt: half of six processors.
JOBS = 3


@attrs.frozen
class Finding:
    """A day of a hunt with a violated rule or a fault.

    Attributes:
        site: Deployment.
        day: Name of the day with its seed, as the bench replays it.
        problems: Violated rules with their counts, and the fault if any.
        commit: Abbreviated hash of the commit that the hunt ran on.
    """

    site: str
    day: str
    problems: str
    commit: str


def read_findings(entries: Iterable[dict[str, Any]]) -> Iterator[Finding]:
    """Yields a finding for each day with a violated rule or a fault.

    Args:
        entries: Entries of the journal; those of unfinished hunts have no days.
    """
    for entry in entries:
        for day in entry.get("days") or ():
            problems = [
                f"{rule} {count}"
                for rule, count in sorted((day.get("rules") or {}).items())
            ]
            if day.get("fault"):
                problems.append(f"fault: {day['fault']}")
            if problems:
                yield Finding(
                    entry["site"],
                    day["name"],
                    ", ".join(problems),
                    entry["head"][:10],
                )


def unexplained_findings(
    findings: Iterable[Finding], page: str
) -> Iterator[Finding]:
    """Yields the findings that a page does not name.

    Args:
        findings: All findings.
        page: Text that contains the names of the explained days.
    """
    return (finding for finding in findings if finding.day not in page)


def _read_hunt_entries(folder: pathlib.Path) -> Iterator[dict[str, Any]]:
    for path in sorted(folder.glob("*.json")):
        entry = json.loads(path.read_text())
        if entry.get("cmd") == "hunt":
            yield entry


def has_ended(entry: dict[str, Any]) -> bool:
    """Returns whether the bench has written the end time of an entry."""
    return bool(entry["at"][1])


def _copy_ended_entries() -> None:
    """Copies the entries of ended hunts from the clones to the journal."""
    for path in CLONES.glob("*/journal/*.json"):
        if not (JOURNAL / path.name).exists() and has_ended(
            json.loads(path.read_text())
        ):
            shutil.copy(path, JOURNAL / path.name)


@click.group()
def main() -> None:
    """Runs hunts and lists their findings."""


@main.command()
@click.option("--bench", required=True, help="Program of the bench.")
@click.option("--days", default=40, show_default=True)
@click.option("--why", default="hunt", show_default=True)
@click.argument("commit")
@click.argument("sites", nargs=-1, required=True)
def play(
    bench: str, days: int, why: str, commit: str, sites: tuple[str, ...]
) -> None:
    """Starts a hunt on each of SITES at COMMIT and returns at once."""
    clone = CLONES / commit
    if not clone.exists():
        subprocess.run(["git", "clone", "-q", ROOT, clone], check=True)
        subprocess.run(["git", "checkout", "-q", commit], cwd=clone, check=True)
    for site in sites:
        output = CLONES / f"{commit}-{pathlib.Path(site).stem}.txt"
        with output.open("wb") as file:
            process = subprocess.Popen(
                [bench, "hunt", site, "--days", str(days)]
                + ["--jobs", str(JOBS), "--why", why],
                cwd=clone,
                stdout=file,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )
        click.echo(f"process {process.pid} writes {output}")


@main.command("list")
def list_findings() -> None:
    """Prints the findings that docs/findings.md does not name."""
    _copy_ended_entries()
    findings_page = FINDINGS.read_text() if FINDINGS.exists() else ""
    findings = list(
        unexplained_findings(
            read_findings(_read_hunt_entries(JOURNAL)), findings_page
        )
    )
    for finding in findings:
        click.echo(
            f"{finding.site}: {finding.day}: {finding.problems}"
            f" ({finding.commit})"
        )
    sys.exit(1 if findings else 0)


if __name__ == "__main__":
    main()
