#!/bin/sh
# The stand-ins are plain Python on the standard library: nothing is fetched. This lays down their byte code with the
# interpreter that the build of the deploy file made, and so shows that they compile.
set -e
cd "$(dirname "$0")"
../.venv/bin/python -m compileall -q .
