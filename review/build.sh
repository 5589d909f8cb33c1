#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. The programs of the deploy file are
# built by its own build line.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in review/[1-5]; do
  if [ -f "$case/main.go" ]; then
    go build -o "target/review/case-$(basename "$case")" "./$case"
  fi
done
