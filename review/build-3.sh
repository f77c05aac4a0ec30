#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/standins-3. The build of deploy/system.toml comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standins-3/ ./review/standins-3/...
