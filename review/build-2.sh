#!/usr/bin/env bash
# Build what the scripts of the second review start beside the program of the deploy file: the
# project's stand-ins and the review's own module. They are Python and need only the packages in
# target/deps, so this checks that they compile and can be imported.
set -eu
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:.:review"
python3 - <<'PYTHON'
import ast
from pathlib import Path

import standins.line_endpoints
import standins.object_store
import support_2

for path in Path("review").glob("[4-8]/*.py"):
    ast.parse(path.read_text(encoding="utf-8"))
PYTHON
