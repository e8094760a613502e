#!/bin/sh
# Builds the stand-ins and cases of the second review. They use the standard library alone, so that
# nothing is fetched. The program of the deploy file has to be built before.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/standins-2/main.rs
