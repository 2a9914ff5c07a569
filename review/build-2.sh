#!/bin/bash
# Builds what the scripts of cases 4 to 8 start, beside the daemon, which the build of the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/rig/...
