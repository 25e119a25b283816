#!/usr/bin/env bash
# The stand-ins of the cases are Python and need what the build of the deploy file puts
# into target/deps; this checks that each of them compiles and can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || bash deploy/build
python3 -m compileall -q review/stage-2 tests/lib/platform_engine.py tests/lib/platform_store.py
PYTHONPATH=target/deps:.:review/stage-2 PYTHONDONTWRITEBYTECODE=1 python3 -S -c "import stage"
