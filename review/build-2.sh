#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start. Run it after the build of deploy/service.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-rig2 ./review/_rig2
