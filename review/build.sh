#!/usr/bin/env bash
# Builds the stand-ins of the cases with the JDK alone; the result lies in review/target.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target/classes
mkdir -p target/classes
javac -nowarn -d target/classes standins/*.java
