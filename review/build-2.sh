#!/usr/bin/env bash
# Builds what the cases 6 to 10 start besides the program. Their stand-ins need the standard library alone and run
# with the environment that the line `build` of the deploy file makes; this checks that they compile in it.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x .venv/bin/python
for file in review/common-2/*.py review/{6,7,8,9,10}/case.py; do
  [ ! -e "$file" ] || .venv/bin/python -m py_compile "$file"
done
