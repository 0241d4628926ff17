#!/usr/bin/env bash
# Builds the stand-ins of the cases of review/REPORT-3.md. It needs Go only, and no network. The cases also
# need target/arbutustrestle, which the build line of deploy/system.toml makes.
set -euo pipefail
cd "$(dirname "$0")/standins-3"
mkdir -p ../../target/review-3
GOWORK=off go build -o ../../target/review-3/standins3 .
