#!/usr/bin/env bash
# Plays the case, see claim.txt. TROUBLE=0 leaves the disruption out. Exits with 1 if
# the rule was broken, 0 if it held, and 2 if the case could not run. Build with the
# line of deploy/system.toml and review/build-2.sh first.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/zinniaproxy ] && [ -x target/standin-2 ] || exit 2
exec target/standin-2 -case beat -trouble "${TROUBLE:-1}" -record review/8/record.txt
