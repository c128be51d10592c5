#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin ] && [ -x ../../target/jacinthproxy ] || { echo "not built: run the deploy file's build and review/build.sh"; exit 2; }
exec ../bin/standin limits .
