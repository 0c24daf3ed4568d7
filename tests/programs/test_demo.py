"""Guards the demonstration, which joins all parts in one process.

Takes about 10 s, because it waits for elections, announcements and drains.
"""

import re

import pytest
import trio

from guavapulley.programs import _demo

LIMIT_S = 60


@pytest.mark.processes
async def test_tour_shows_a_drain_and_an_order_that_ran_once(tmp_path):
    lines = []
    with trio.fail_after(LIMIT_S):
        await _demo.run_demo(tmp_path, 0, lines.append)
    text = "\n".join(lines)
    before = re.search(r"served in pb: (\d+); 0 of (\d+) failed", text)
    assert before, text
    assert before[1] == before[2]
    after = re.search(r"then served in (.*); 0 of", text)
    assert after and "pb" not in after[1], text
    assert "status 200, then 200; it ran 1 time." in text
    assert (tmp_path / "operator.token").read_text() not in text
