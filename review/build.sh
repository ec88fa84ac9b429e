#!/usr/bin/env bash
# Check that the stand-ins of the cases, and the project's own that they use, can be imported.
# They are Python modules and need only what the build of the deploy file puts into target/deps.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
for case in review/[0-9]/case.py; do
    module=${case%.py}
    python3 -c "import importlib; importlib.import_module('${module//\//.}')"
done
