#!/usr/bin/env bash
# Builds the stand-ins of all scripts: one program without dependencies, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
"${RUSTC:-rustc}" --edition 2024 -C opt-level=2 -o target/review/stand review/stand/main.rs
