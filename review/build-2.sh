#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/standins-2
