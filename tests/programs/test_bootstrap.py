"""Guards against a command line that starts child processes."""

import subprocess
import sys

SCRIPT = """
import sys

PROCESS_STARTS = {"subprocess.Popen", "os.fork", "os.posix_spawn", "os.system"}


def refuse(event, arguments):
    if event in PROCESS_STARTS:
        raise SystemExit(f"{event} {arguments}")


sys.addaudithook(refuse)
from guavapulley import programs

sys.argv = ["guavapulley", "--help"]
programs.main()
"""


def test_command_line_starts_no_process():
    result = subprocess.run(
        [sys.executable, "-c", SCRIPT],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert result.returncode == 0, result.stderr
    assert "Exit codes:" in result.stdout
