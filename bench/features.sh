#!/usr/bin/env bash
# Runs the features in several processes, each with a fixed part of them, prints the
# output of each and then a line "N passed, N failed" for all.
# usage: bench/features.sh PARTS
set -u
parts=$1
folder=build/features
mkdir -p "$folder"
rm -f "$folder"/*
for part in $(seq "$parts"); do
    python -m vanillareach.features --part "$part/$parts" >"$folder/$part.log" 2>&1 &
    pids[part]=$!
done
status=0
for part in $(seq "$parts"); do
    wait "${pids[part]}" || status=1
done
passed=0
failed=0
for part in $(seq "$parts"); do
    cat "$folder/$part.log"
    counts=$(grep -E '^part: [0-9]+ passed, [0-9]+ failed$' "$folder/$part.log" | tail -1)
    if [ -z "$counts" ]; then
        echo "part $part of the features didn't end"
        status=1
        failed=$((failed + 1))
        continue
    fi
    read -r _ part_passed _ part_failed _ <<<"$counts"
    passed=$((passed + part_passed))
    failed=$((failed + part_failed))
done
cat KNOWN-RED.txt
echo "$passed passed, $failed failed"
exit "$status"
