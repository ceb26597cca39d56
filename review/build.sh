#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/*/main.go; do
	n=$(basename "$(dirname "$main")")
	[[ $n =~ ^[0-9]+$ ]] && go build -o "target/review/$n" "./review/$n"
done
