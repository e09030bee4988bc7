#!/bin/sh
# Plays the case; see claim.txt.  TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
exec python3 -S review/5/scenario.py
