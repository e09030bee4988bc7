#!/bin/sh
# Builds the stand-ins that the scripts start: the programs are compiled, so that a
# fault in one shows here.  They need no package and nothing of the project's own.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
PYTHONPYCACHEPREFIX=target/review python3 -m compileall -q review
