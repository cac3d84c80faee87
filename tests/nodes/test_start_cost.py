"""Tests the start cost of a node, counted in imported modules, not in time."""

from pathlib import Path
import subprocess
import sys

import pytest

ROOT = Path(__file__).resolve().parent.parent.parent
TOOL_ONLY = ("httpx", "certifi")
"""Libraries that only the command-line tool uses."""


# Half of a node's start time went into importing libraries that only the
# operators' tool uses. A day of 93 VMs has 190 starts, so days were given up
# as too slow.
@pytest.mark.parametrize("module", ["entry", "control"])
def test_node_does_not_import_libraries_of_the_tool(module):
    script = (
        "import sys; import dotterelbridge.nodes.daemon; "
        f"import dotterelbridge.nodes.{module}; "
        f"print([m for m in {TOOL_ONLY!r} if m in sys.modules])"
    )
    result = subprocess.run(
        [sys.executable, "-c", script],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert result.stdout.strip() == "[]"
