#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." && exec target/review/4
