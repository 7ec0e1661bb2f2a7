#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the disruption is left out. Writes record.txt in this folder.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
exec python3 -m review.2.case
