#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: standard library only, nothing to fetch.
set -eu
cd "$(dirname "$0")/.."
python3 -B -c 'import sys; sys.path.insert(0, "review"); import stand_ins_3'
