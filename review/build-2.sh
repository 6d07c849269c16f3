#!/usr/bin/env bash
# Builds the stand-ins that the cases of the second review start. The programs of the deploy file are built by its own build line.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review2 ./review/_rig2
