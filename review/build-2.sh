#!/bin/sh
# Builds the stand-ins of the scripts review/6 and up, without a network.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --offline --locked \
    --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
