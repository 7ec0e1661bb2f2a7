#!/bin/sh
# Runs the benchmarks, each phase with new processes on the loopback interface.
# Usage: bench.sh PYTHON
set -u
python=$1
logs=${RUN_LOGS:-.run}
mkdir -p "$logs"
figures="$logs/bench.json"
rm -f "$figures"
pids=""

stop_all() {
    for pid in $pids; do
        kill -9 "$pid" 2>/dev/null
    done
    pids=""
}
trap stop_all EXIT INT TERM

start() {
    log=$1
    shift
    "$python" -m orioleplank "$@" >"$logs/$log.log" 2>&1 &
    pid=$!
    pids="$pids $pid"
}

run_phase() {
    phase=$1
    service_ms=$2
    start platform standin platform --listen 127.0.0.1:7300
    arguments="--platform 127.0.0.1:7300"
    for number in 1 2 3; do
        start "upstream-$number" standin upstream --name "db-$number" \
            --listen "127.0.0.1:751$number" --admin "127.0.0.1:752$number" \
            --service-ms "$service_ms"
        arguments="$arguments --instance db-$number --instance-pid $pid"
        arguments="$arguments --address 127.0.0.1:751$number --audit 127.0.0.1:752$number"
    done
    for number in 1 2 3; do
        start "proxy-$number" proxy --settings "examples/proxy-$number.yaml"
        arguments="$arguments --proxy 127.0.0.1:74${number}1 --peer 127.0.0.1:74${number}2"
        arguments="$arguments --admin 127.0.0.1:74${number}3 --proxy-pid $pid"
    done
    # The list of arguments must be split into words.
    # shellcheck disable=SC2086
    "$python" -m orioleplank.bench "$phase" --figures "$figures" $arguments || exit 1
    stop_all
    sleep 1
}

run_phase path 2
run_phase load 20
"$python" -m orioleplank.bench summary --figures "$figures"
