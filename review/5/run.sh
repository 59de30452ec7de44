#!/bin/sh
# One daemon is killed 14 s after the first start of the system, 4 s after traffic has begun. TROUBLE=0: none is.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/release/review-case-2 ] && [ -x target/release/flaxward ] || exit 2
exec target/review-2/release/review-case-2 early review/5
