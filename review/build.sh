#!/bin/sh
# Builds the stand-ins of the scripts: the store, the runners and the clients,
# all in one program. It needs only Go's standard library.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../../target
exec go build -o ../../target/review-standin .
