#!/usr/bin/env bash
# Compiles the stand-ins and the programs of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review/classes
javac -Xlint:all -d target/review/classes review/standin/*.java review/[1-5]/*.java review/beside/*.java
