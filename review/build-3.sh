#!/usr/bin/env bash
# Builds the stand-ins of the cases from 11 on into target/review-3.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-3
javac --release 17 -Xlint:all -Werror -d target/review-3 review/standins/*.java
