#!/bin/sh
# Builds the stand-ins and drivers of the cases 6 to 10. Those that several cases share are in review/6. Needs the JDK only.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/6/*.java review/7/*.java review/8/*.java review/9/*.java review/10/*.java
