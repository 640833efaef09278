#!/usr/bin/env bash
# Builds the stand-ins that the cases use. Only the standard library is used, so no network is needed.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
