#!/usr/bin/env bash
# Exits with 1 if DRAIN was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
exec target/review-3/release/drain_after_copy target/release/fulmarrill "$folder"
