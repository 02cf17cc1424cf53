#!/usr/bin/env bash
# Starts the processes of one layout, runs a command and then stops the processes.
# usage: bench/fleet.sh LAYOUT COMMAND...
# The process ids are in build/pids, one a line, in the order of bench.layout. With
# KEEP_ENTRIES=1 an entry or gateway that exits is restarted, as a platform does; its
# current process id is in build/entries/NUMBER, its last exit code in NUMBER.exit.
set -u
layout=$1
shift
mkdir -p build/traces build/logs build/entries
rm -f build/traces/*.jsonl build/pids build/stopping build/entries/*
export FLEET=$layout
pids=()
supervise() {
    while [ ! -e build/stopping ]; do
        $2 >>"build/logs/$1.log" 2>&1 &
        echo $! >"build/entries/$1"
        wait $!
        echo $? >"build/entries/$1.exit"
    done
}
finish() {
    touch build/stopping
    for file in build/entries/*; do
        case "$file" in *.exit | *'*') continue ;; esac
        pids+=("$(cat "$file")")
    done
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
    for _ in $(seq 50); do
        alive=0
        for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
        [ "$alive" = 0 ] && break
        sleep 0.1
    done
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
}
trap finish EXIT
while IFS= read -r line; do
    number=${#pids[@]}
    : >"build/logs/$number.log"
    if [ "${KEEP_ENTRIES:-0}" = 1 ] && [[ $line == *" entry "* || $line == *" gateway "* ]]; then
        supervise "$number" "$line" &
    else
        $line >"build/logs/$number.log" 2>&1 &
    fi
    pids+=($!)
    echo "$! $line" >>build/pids
done < <(python -m bench.layout "$layout")
"$@"
