"""What a node imports at its start, counted in modules, not in time."""

from pathlib import Path
import subprocess
import sys

import pytest

ROOT = Path(__file__).resolve().parent.parent.parent
TOOL_ONLY = ("httpx", "certifi")
"""Libraries that a node does not use."""


# Guards against days given up as too slow: a day of 93 VMs has 190 starts,
# and half of each went into libraries that only the operators' tool uses.
@pytest.mark.parametrize("module", ["entry", "control"])
def test_a_node_imports_nothing_that_only_the_tool_uses(module):
    code = (
        "import sys; import dotterelbridge.nodes.daemon; "
        f"import dotterelbridge.nodes.{module}; "
        f"print([m for m in {TOOL_ONLY!r} if m in sys.modules])"
    )
    shown = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert shown.stdout.strip() == "[]"
