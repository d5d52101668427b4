#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review ] && [ -f target/comfreywall-platform.jar ] || exit 2
exec java -Xmx64m -cp target/review review.CrashingRequest review/3
