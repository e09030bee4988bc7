#!/bin/sh
# Checks the stand-ins that the scripts start: the project's own, and those of review/.
# They need what deploy/build.sh installs, and the standard library.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:packages/fennelhill-bench/src python3 -c '
import fennelhill_bench.loopback
import fennelhill_bench.platform_stand_ins.lineserver
import fennelhill_bench.platform_stand_ins.platform
'
for file in review/stand_ins_3/*.py review/1[1-5]/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
