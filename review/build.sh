#!/usr/bin/env bash
# Checks the stand-ins that the scripts start. They are Python programs without
# dependencies beyond the standard library, so nothing is compiled; the daemon
# is the one that the deploy file builds into target/.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - standin/mesh.py [1-9]/case.py <<'PY'
import ast
import sys

if sys.version_info < (3, 11):
    sys.exit("python3 3.11 or later is needed")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
PY
test -x ../target/cyclamenwind-meshd || {
  echo "build the daemon first, with the build command of deploy/system.toml" >&2
  exit 1
}
echo "review: stand-ins ok"
