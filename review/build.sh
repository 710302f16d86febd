#!/usr/bin/env bash
# Builds the stand-ins and the scripts of all cases; the deploy file's build comes before.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target
javac --release 17 -d review/target review/standins/*.java review/[1-5]/*.java
