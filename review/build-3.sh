#!/usr/bin/env bash
# Builds the stand-ins of the third review. They need only the standard library.
set -eu
cd "$(dirname "$0")/standin-3"
GOWORK=off go build -o ../../target/standin-3 .
