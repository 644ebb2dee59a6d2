#!/usr/bin/env bash
# Plays the case once; TROUBLE=0 leaves out the disruption. Build the programs
# with the build line of deploy/system.toml and run review/build.sh first.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standins ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -s KILL 100 ../bin/standins second-disk "$(cd ../.. && pwd)" "$folder" \
  "$PWD/record.txt" "${TROUBLE:-1}"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
