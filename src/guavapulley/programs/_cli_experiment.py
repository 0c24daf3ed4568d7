"""Command `experiment`, which compares placement policies."""

import pathlib

import click

from guavapulley import experiments
from guavapulley.programs import _experiment_page
from guavapulley.programs import _tables

_PATTERN_HELP = "\n".join(
    f"  {name}: {pattern.summary}"
    for name, pattern in experiments.PATTERNS.items()
)


@click.command(epilog="\b\nPatterns:\n" + _PATTERN_HELP)
@click.argument("pattern", type=click.Choice(list(experiments.PATTERNS)))
@click.option(
    "--policy",
    "policies",
    multiple=True,
    type=click.Choice(list(experiments.POLICIES)),
    help="Policy to run; all by default.",
)
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--seconds", default=32.0, show_default=True, help="Duration of the run."
)
@click.option(
    "--html",
    "page",
    type=click.Path(path_type=pathlib.Path),
    help="Write plots as an HTML page to this file.",
)
def experiment(
    pattern: str,
    policies: tuple[str, ...],
    seed: int,
    seconds: float,
    page: pathlib.Path | None,
) -> None:
    """Compare placement policies under a load pattern in simulated time.

    Runs with the same seed differ slightly, because the runtime runs tasks
    that are due at the same time in random order.
    """
    runs = {
        name: experiments.run_pattern(
            experiments.PATTERNS[pattern],
            experiments.POLICIES[name],
            seed,
            seconds,
        )
        for name in policies or experiments.POLICIES
    }
    for line in _tables.table_lines(["", *runs], _rows(runs)):
        click.echo(line)
    if page is not None:
        try:
            page.write_text(_experiment_page.render(pattern, seed, runs))
        except OSError as error:
            raise click.FileError(str(page), error.strerror) from error


def _rows(runs: dict[str, experiments.Ledger]) -> list[list[str]]:
    """Returns the rows of the table, which has a column for each policy."""
    ledgers = list(runs.values())
    rows = [
        ["requests", *(str(len(ledger.outcomes)) for ledger in ledgers)],
        ["credit", *(f"{ledger.credit():.3f}" for ledger in ledgers)],
        [
            "answered",
            *(f"{_answered_fraction(ledger):.3f}" for ledger in ledgers),
        ],
        [
            "refusals, p99 by target",
            *(
                f"{ledger.p99_refusal_time_fraction():.2f}"
                for ledger in ledgers
            ),
        ],
    ]
    for distance in experiments.Distance:
        fractions = [ledger.exchange_fraction(distance) for ledger in ledgers]
        rows.append(
            [
                f"to {distance.value}",
                *(f"{fraction:.3f}" for fraction in fractions),
            ]
        )
    groups = [dict(ledger.credit_by_group()) for ledger in ledgers]
    for name in groups[0]:
        rows.append(
            [
                name,
                *(
                    f"{group_credits.get(name, 0):.3f}"
                    for group_credits in groups
                ),
            ]
        )
    return rows


def _answered_fraction(ledger: experiments.Ledger) -> float:
    return ledger.outcome_fraction(lambda outcome: outcome.status == 200)
