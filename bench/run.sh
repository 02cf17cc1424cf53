#!/usr/bin/env bash
# Runs all benchmarks; exits with 1 when a figure exceeds its bound.
status=0
bash bench/fleet.sh relay python -m bench.relay || status=1
python -m bench.scale || status=1
python -m bench.lengths || status=1
exit $status
