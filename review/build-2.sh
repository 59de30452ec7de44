#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
