#!/bin/sh
# Starts the stand-ins and three proxies as separate processes, runs a working day and stops all.
# Usage: run.sh PYTHON [ARGUMENTS OF THE WORKING DAY]
set -u
python=$1
shift
logs=${RUN_LOGS:-.run}
mkdir -p "$logs"
pids=""

stop_all() {
    for pid in $pids; do
        kill -9 "$pid" 2>/dev/null
    done
}
trap stop_all EXIT INT TERM

start() {
    log=$1
    shift
    "$python" -m orioleplank "$@" >"$logs/$log.log" 2>&1 &
    pid=$!
    pids="$pids $pid"
}

start platform standin platform --listen 127.0.0.1:7300
upstreams=""
number=1
for name in a b c; do
    start "upstream-$name" standin upstream --name "books-1-$name" \
        --listen "127.0.0.1:751$number" --admin "127.0.0.1:752$number"
    upstreams="$upstreams --upstream-admin 127.0.0.1:752$number --upstream-pid books-1-$name=$pid"
    number=$((number + 1))
done
proxies=""
for number in 1 2 3; do
    start "proxy-$number" proxy --settings "examples/proxy-$number.yaml"
    zone=$(sed -n 's/^  zone: //p' "examples/proxy-$number.yaml")
    proxies="$proxies --proxy 127.0.0.1:74${number}1 --admin 127.0.0.1:74${number}3"
    proxies="$proxies --vm entry-$number,127.0.0.1:74${number}2,$zone"
done
# The lists of arguments must be split into words.
# shellcheck disable=SC2086
"$python" -m orioleplank.workday --platform 127.0.0.1:7300 --services examples/services.yaml \
    --service books-1 $upstreams $proxies "$@"
status=$?
exit "$status"
