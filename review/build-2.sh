#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. It needs no network: they use the standard library only.
set -e
cd "$(dirname "$0")/standins-2"
GOTOOLCHAIN=local GOWORK=off CGO_ENABLED=0 go build -o bin/ .
