#!/usr/bin/env bash
# Requests whose stages have begun move to the next leader just after a stage runner has restarted under its ID.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standins ] && [ -x ../../target/ragworthatch ] || exit 2
exec ../bin/standins -case resume -root ../.. -record record.txt -trouble "${TROUBLE:-1}"
