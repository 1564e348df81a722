#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/lab"
mkdir -p ../bin
go build -o ../bin/lab .
