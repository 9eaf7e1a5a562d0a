#!/usr/bin/env bash
# Compiles the stand-ins of the cases with the libraries of the entry daemon, which must be built.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target
javac --release 17 -cp 'target/entry/*' -d review/target review/standins/*.java
