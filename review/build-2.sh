#!/bin/sh
# Checks what the scripts of review/6 to review/10 start. Their stand-ins need only
# Python's library, and the program itself is built by the deploy file.
set -e
cd "$(dirname "$0")/.."
python3 - <<'END'
import ast
import pathlib
import sys

folder = pathlib.Path("review")
for path in ["kit2/stand.py", *(f"{number}/case.py" for number in range(6, 11))]:
    ast.parse((folder / path).read_text(), path)
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
if not pathlib.Path("target/deps/aiohttp").is_dir():
    sys.exit("run the build of deploy/system.toml first")
END
echo "nothing to build"
