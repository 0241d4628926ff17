#!/bin/sh
# Builds the stand-ins of all cases into review/bin/. The gateway itself is built by the deploy file. The
# sources have names that keep them out of the project's own checks, so that they are built in a temporary
# folder, as a module without dependencies.
set -e
cd "$(dirname "$0")"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for file in standins/*.txt; do
	cp "$file" "$folder/$(basename "$file" .txt)"
done
mkdir -p bin
program=$PWD/bin/standins
cd "$folder"
go build -buildvcs=false -o "$program" .
