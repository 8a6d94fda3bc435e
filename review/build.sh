#!/bin/sh
# Builds the program that plays the cases, with its stand-ins, into target/.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-harness review/harness/*.go
