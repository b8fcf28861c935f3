#!/bin/sh
# The stand-ins of rig3 use the standard library of Python 3.11 only.
cd "$(dirname "$0")/.." || exit 1
python3 -m compileall -q review/rig3
