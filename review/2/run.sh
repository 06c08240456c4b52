#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/fulmarrill ] || exit 2
target/review/standin sync-replica review/2/record.txt &
standin=$!
# Ends the hosts too if the script is ended early.
trap 'pkill -KILL -P "$standin"; kill -KILL "$standin"; exit 2' TERM INT
wait "$standin"
