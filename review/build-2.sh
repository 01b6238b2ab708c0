#!/bin/sh
# Builds the stand-ins and clients of the cases 4 to 8. The program under review is built by the
# deploy file before.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review -o target/review-2/bed ./review/tools-2/bed
# A module of its own, with nothing but the standard library.
cd review/tools-3
go build -o ../../target/review-2/review3 .
