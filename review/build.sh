#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python and need only
# the standard library, so they are compiled to find errors early.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'END'
from pathlib import Path
import sys

for path in sorted(Path(".").glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
print("stand-ins: nothing else to build", file=sys.stderr)
END
