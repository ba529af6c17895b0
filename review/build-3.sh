#!/usr/bin/env bash
# Builds what the cases 11 to 15 start beside the programs of the deploy file. Their
# stand-ins are Python modules (review/standin-3, testing/mesh_processes.py), which
# need no build; this checks that they compile with the Python of this machine.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import glob
for name in ["testing/mesh_processes.py", "review/standin-3/bench.py",
             *glob.glob("review/1[1-5]/case.py")]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
CHECK
echo "build-3: ok"
