#!/bin/sh
# Builds the stand-ins of the review into review/bin. Needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for name in hang beat unfenced window random waits; do
  go build -o "review/bin/$name" "./review/testdata/$name"
done
