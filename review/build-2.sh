#!/bin/sh
# Builds the stand-ins and clients of the second review. The program under review is built by the
# deploy file before.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review -o target/review-2/bed ./review/tools-2/bed
