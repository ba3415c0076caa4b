#!/usr/bin/env bash
# Builds the stand-ins of the second review, with the standard library only, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc -O --edition 2021 review/stand_ins_2/rig.rs -o target/review/rig
