"""Guards against experiments without figures and pages with scripts."""

from click import testing

from guavapulley.programs import _cli


def test_figures_and_a_page_are_written(tmp_path):
    page = tmp_path / "page.html"
    result = testing.CliRunner().invoke(
        _cli.cli,
        ["experiment", "siam-quiet", "--seconds", "2", "--html", str(page)]
        + ["--policy", "cost", "--policy", "round-robin"],
    )
    assert result.exit_code == 0, result.output
    lines = result.stdout.splitlines()
    assert lines[0].split() == ["cost", "round-robin"]
    for name in ("credit", "kind order", "domain cnx-2", "worst windows"):
        assert any(line.startswith(name) for line in lines)
    text = page.read_text()
    assert text.count("<polyline") == 2
    assert "<script" not in text
