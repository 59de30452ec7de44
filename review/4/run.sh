#!/bin/sh
# All daemons are killed at the same moment while runners of two software versions serve. TROUBLE=0: nobody is killed.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/release/review-case-2 ] && [ -x target/release/flaxward ] || exit 2
exec target/review-2/release/review-case-2 origins review/4
