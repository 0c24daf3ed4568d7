"""Guards against a demonstration that fails or shows the operator's token.

All roles run in one process. The test takes about 15 s, because it waits for
elections, announcements and drains.
"""

import re

import pytest
import trio

from guavapulley.programs import _demo
from guavapulley.programs import _demo_scenario

TIMEOUT_S = 60


@pytest.mark.processes
async def test_demo_shows_a_drain_and_an_order_that_ran_once(tmp_path):
    lines = []
    with trio.fail_after(TIMEOUT_S):
        await _demo.run_demo(tmp_path, 0, lines.append)
    text = "\n".join(lines)
    before = re.search(r"reads from pb were served in pb: (\d+); 0 of", text)
    assert before, text
    # A hedged read is dispatched twice.
    assert int(before[1]) >= _demo_scenario.READ_COUNT
    after = re.search(r"3 s later were served in (.*); 0 of", text)
    assert after and "pb" not in after[1], text
    assert text.count("0 were refused as not run") == 3, text
    assert "configuration:applied" in text
    assert "status 200, then 200; it ran 1 time." in text
    assert (tmp_path / "operator.token").read_text() not in text
