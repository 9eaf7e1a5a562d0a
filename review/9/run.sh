#!/usr/bin/env bash
# A client cancels a job whose submission got no definite answer; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/World.class ] && [ -f target/entry/classes.jsa ] || exit 2
exec java -Xmx128m -cp "target/review-2:target/entry/*" CancelledSubmission "$PWD" "$PWD/review/9/record.txt"
