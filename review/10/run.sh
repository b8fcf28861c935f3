#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it was kept, 2 if the case could not run.
# With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || exit 2
export PYTHONDONTWRITEBYTECODE=1
python3 review/10/case.py &
child=$!
trap 'kill -TERM "$child" 2>/dev/null' TERM INT
wait "$child"
code=$?
if [ "$code" -gt 128 ]; then wait "$child"; code=$?; fi
case "$code" in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
