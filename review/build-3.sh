#!/bin/sh
# Builds the stand-ins and drivers of the cases 11 to 15, without a network.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/common-3/Cargo.toml --target-dir target/review-3
