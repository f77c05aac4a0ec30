#!/usr/bin/env bash
# Plays case 9; see claim.txt. It needs the build of the deploy file and review/build-2.sh.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
dir=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$dir/../.." || exit 2
if [ ! -x target/review-2 ]; then
  echo 'target/review-2 is not built' >&2
  exit 2
fi
TROUBLE=${TROUBLE:-1} exec target/review-2 late-beat "$dir"
