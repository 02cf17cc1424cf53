#!/usr/bin/env bash
# Plays each scenario once with each placement policy and compares the reports.
# usage: bench/policies.sh SCENARIO...
set -u
mkdir -p build/policies
rm -f build/policies/*.json
for scenario in "$@"; do
    name=$(basename "$scenario" .toml)
    for policy in predicted-loss random round-robin least-loaded linear-cost; do
        SCENARIO=$scenario bash bench/fleet.sh "emulated-$policy" \
            vanillareach load "$scenario" \
            --target "$(python -m bench.layout emulated-targets)" \
            --report "build/policies/$name.$policy.json" || exit 1
    done
done
python -m bench.policies
