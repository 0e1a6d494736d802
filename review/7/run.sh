#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
exec env PYTHONDONTWRITEBYTECODE=1 python3 "$(dirname "$0")/run.py"
