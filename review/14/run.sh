#!/bin/sh
# Runs the case; see claim.txt. Needs the build of the deploy file and review/build-3.sh.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/release/fuchsiaknot-entry ] && [ -x target/review-3/release/idle_channels ] || exit 2
exec target/review-3/release/idle_channels "$folder"
