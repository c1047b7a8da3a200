#!/bin/sh
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 .venv/bin/python review/3/case.py
case $? in
0) exit 0 ;;
11) exit 1 ;;
*) exit 2 ;;
esac
