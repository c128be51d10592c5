#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. The program itself is built as the deploy file says.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/rig
