#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into review/bin/standins3; they use the standard library
# only, so that this needs no network. The sources have names that keep them out of the project's own
# checks, and are built in a temporary folder. The cases also need target/arbutustrestle, which the build
# line of deploy/system.toml makes.
set -e
cd "$(dirname "$0")/standins-3"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for file in *.txt; do
	cp "$file" "$folder/$(basename "$file" .txt)"
done
mkdir -p ../bin
program=$(cd .. && pwd)/bin/standins3
cd "$folder"
GOTOOLCHAIN=local GOWORK=off GOFLAGS=-mod=mod CGO_ENABLED=0 go build -buildvcs=false -o "$program" .
