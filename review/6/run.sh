#!/bin/sh
# Plays the case and writes review/6/record.txt: what was sent, answered and run. Exits with
# 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/currantpulleyd ] && [ -x target/review-2/lab-2 ] || exit 2
timeout -k 5 115 target/review-2/lab-2 wall review/6/record.txt
status=$?
test $status -le 1 || exit 2
exit $status
