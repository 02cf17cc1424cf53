#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. They are
# Python modules of the standard library alone, so this only checks that they load.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=. python3 -c '
import review.common3.callers
import review.common3.configs
import review.common3.engines
import review.common3.gateways
import review.common3.http1
import review.common3.platform_store
import review.common3.scenario
'
