#!/bin/sh
# Exits with 1 if more than three repeats were too late, 0 if not, 2 if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
exec java -Xmx256m -Dsun.net.http.allowRestrictedHeaders=true -cp target/review-2 PoisonCase "$here/record.txt"
