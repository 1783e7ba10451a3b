#!/bin/sh
# Builds the stand-ins and drivers of the cases 6 to 10. No network is used.
set -e
cd "$(dirname "$0")/common-2"
exec cargo build --release --locked --offline
