#!/bin/sh
# Runs the fault matrix in four concurrent parts, prints their output in order and the sum of their
# results. Usage: matrix.sh PYTHON [ARGUMENTS OF THE MATRIX]
set -u
python=$1
shift
logs=${RUN_LOGS:-.run}
parts=4
mkdir -p "$logs"
part=0
pids=""
while [ "$part" -lt "$parts" ]; do
    "$python" -m orioleplank.tests.matrix --part "$part" --parts "$parts" "$@" \
        >"$logs/matrix-$part.log" 2>&1 &
    pids="$pids $!"
    part=$((part + 1))
done
status=0
for pid in $pids; do
    wait "$pid" || status=1
done
part=0
while [ "$part" -lt "$parts" ]; do
    sed '$d' "$logs/matrix-$part.log"
    part=$((part + 1))
done
tail -qn 1 "$logs"/matrix-[0-9].log | awk '
    / passed, .* failed$/ { passed += $1; failed += $3; parts += 1 }
    END {
        if (parts != '"$parts"') failed += '"$parts"' - parts
        print passed + 0 " passed, " failed + 0 " failed"
        exit parts != '"$parts"'
    }' || status=1
exit "$status"
