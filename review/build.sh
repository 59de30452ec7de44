#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They have no dependencies, so no network is needed.
set -e
cd "$(dirname "$0")/harness"
exec cargo build --release --locked --offline --target-dir target
