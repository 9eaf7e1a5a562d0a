#!/usr/bin/env bash
# The scheduling daemon is killed after it has assigned jobs to a lost worker; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/World.class ] && [ -f target/entry/classes.jsa ] || exit 2
exec java -Xmx128m -cp "target/review-2:target/entry/*" PendingAfterTakeover "$PWD" "$PWD/review/10/record.txt"
