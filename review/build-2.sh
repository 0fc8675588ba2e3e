#!/bin/sh
# Builds the stand-ins of the second review's cases, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/rig2
