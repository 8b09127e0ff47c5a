#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/yokemast ] && [ -x bin/review2-10 ] || { echo "build first" >&2; exit 2; }
exec bin/review2-10
