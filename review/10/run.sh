#!/usr/bin/env bash
# Plays case 10; see claim.txt. It needs the build of the deploy file and review/build-2.sh.
dir=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$dir/../.." || exit 2
exec target/review-2 take-up "$dir"
