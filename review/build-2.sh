#!/usr/bin/env bash
# Check that the stand-ins of the second review's scripts, and the project's own that they use, can
# be imported. They are Python modules and need only what the build of the deploy file puts into
# target/deps.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
for case in review/[4-8]/case.py; do
    module=${case%.py}
    python3 -c "import importlib; importlib.import_module('${module//\//.}')"
done
