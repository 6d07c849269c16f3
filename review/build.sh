#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The daemons are built as the deploy file says.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-rig ./review/_rig
