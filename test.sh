#!/usr/bin/env bash
# The project's one test command: formatting, lints, documentation, tests, release build.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all --check
cargo clippy --locked --workspace --all-targets -- -D warnings
cargo test --locked --workspace
cargo build --locked --release --workspace
