#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.."
PYTHONPATH=target/deps:packages/fennelhill-bench/src exec python3 review/15/case.py
