#!/bin/sh
# Builds the stand-ins of the cases. They need nothing but the standard library.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
