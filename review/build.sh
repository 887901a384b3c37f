#!/usr/bin/env bash
# Builds the stand-ins of the scripts, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review-standin .
