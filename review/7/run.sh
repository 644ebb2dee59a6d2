#!/usr/bin/env bash
# Case 7. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not
# run. TROUBLE=0 leaves out the disruption: the host is not full.
cd "$(dirname "$0")" || exit 2
source ../deploy-2.sh
trap stop_deployment EXIT
start_deployment 4 1 || exit 2
timeout 60 "$ROOT/target/review-2/play-7" "$NET" "${TROUBLE:-1}" \
  "$PWD/record.txt"
status=$?
[ $status -le 1 ] || exit 2
exit $status
