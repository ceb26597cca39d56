#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15, which contain all their stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for folder in review/1[1-5]; do
	if [ -f "$folder/main.go" ]; then
		go build -o "target/review-3/$(basename "$folder")" "./$folder"
	fi
done
