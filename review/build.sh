#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. It needs no network.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review -o target/review/ ./review/harness
