#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They use the standard library only; the program
# under test is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/standin/main.rs -o target/review/standin
