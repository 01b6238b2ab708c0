#!/bin/sh
# Builds the program that plays the scripts of the review, with its stand-ins.
set -eu
cd "$(dirname "$0")/tools"
mkdir -p ../../target/review
exec env GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review/lab .
