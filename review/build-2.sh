#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/, after the build of the
# deploy file. They are a module of their own with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin2"
mkdir -p ../../target
go build -o ../../target/review-2 .
