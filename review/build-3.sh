#!/bin/sh
# Builds the stand-ins of the third review. The programs of the project are built by the line in
# deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/kit3
