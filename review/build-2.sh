#!/bin/sh
# Builds what the scripts of this review start, besides the build line of deploy/system.toml. Needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2/main.rs
