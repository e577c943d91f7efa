#!/bin/sh
# Builds the stand-ins that the cases start. Needs rustc and its standard library only.
set -e
cd "$(dirname "$0")"
mkdir -p bin
exec rustc --edition 2021 -O standin/main.rs -o bin/standin
