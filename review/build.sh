#!/usr/bin/env bash
# Builds the stand-in that the cases start. Needs Go only; run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o review/bin/standin ./review/standin
