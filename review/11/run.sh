#!/bin/sh
# Plays this case; see claim.txt. TROUBLE=0 leaves the disruption out. Needs the build
# of the deploy file and review/build-3.sh.
cd "$(dirname "$0")" && exec ../../target/review-3/rig evacuation .
