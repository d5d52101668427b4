#!/usr/bin/env bash
# Compiles the stand-ins and the scripts' drivers into target/review. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -Xlint:all -Werror -d target/review review/*.java review/[1-5]/*.java
