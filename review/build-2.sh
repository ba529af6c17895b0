#!/usr/bin/env bash
# Prepares the stand-ins of the scripted cases 6 to 10: they are Python programs
# (testing/mesh_processes.py, review/standin-2), which need no build, so
# this only checks that they can be loaded. The daemon is built by the command of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for File in testing/mesh_processes.py review/standin-2/*.py review/[6-9]/*.py \
  review/10/*.py; do
  [ ! -e "$File" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$File"
done
echo "build-2: ok"
