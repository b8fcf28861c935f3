#!/usr/bin/env bash
# Checks that the stand-ins and cases compile. They are plain Python and use only the
# standard library, so nothing has to be installed or written.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
from pathlib import Path

for path in sorted(Path("review").rglob("*.py")):
    compile(path.read_bytes(), str(path), "exec")
    print("compiled", path)
PY
