#!/usr/bin/env bash
# Plays the case that claim.txt describes; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken, with 0 if it
# held, with 2 if the case could not run. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in gateway controlplane review-rig; do
  [ -x "target/$program" ] || { echo "target/$program is missing" >&2; exit 2; }
done
exec target/review-rig late-beat review/3
