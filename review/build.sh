#!/usr/bin/env bash
# Compiles the stand-ins and the cases into target/review. Needs the JDK only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/stand/*.java
