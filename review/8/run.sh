#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
dir=$(cd "$(dirname "$0")" && pwd)
cd "$dir/../.." || exit 2
[ -x target/jacinthproxy ] && [ -x target/review-drive ] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
exec timeout -k 5 110 target/review-drive leave-ahead "$dir"
