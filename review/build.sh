#!/usr/bin/env bash
# Builds every stand-in that the scripts start: review/bin/standins. The program itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOTOOLCHAIN=local GOWORK=off go build -buildvcs=false -o ../bin/standins .
