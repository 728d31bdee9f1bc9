#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not be played. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/stage2 ] && [ -x target/gypsumd ] || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=false
fi
exec target/review-2/stage2 -case pipeline -trouble="$trouble" -record review/7/record.txt
