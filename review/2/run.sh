#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
harness=$root/review/harness/target/release/review-harness
if [ ! -x "$harness" ] || [ ! -x "$root/target/release/flaxward" ]; then
    echo "build flaxward and review/build.sh first"
    exit 2
fi
# In a session of its own, so that nothing that it starts outlives this script.
setsid "$harness" stale-configuration "$root" "$here/record.txt" &
pid=$!
trap 'kill -- "-$pid" 2>/dev/null' EXIT INT TERM
wait "$pid"
