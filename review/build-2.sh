#!/bin/sh
# Builds the stand-ins of the second review's cases, which use only the standard library.
cd "$(dirname "$0")/.." || exit 2
GOWORK=off exec go build -o target/review-2 review/fleet-2/*.go
