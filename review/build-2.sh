#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10.
set -eu
cd "$(dirname "$0")/.."
go build -o target/rig2 ./review/rig2
