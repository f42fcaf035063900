#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python files of the standard library alone, which are only
# compiled here, to a temporary folder, so that a syntax error shows.
set -e
cd "$(dirname "$0")"
command -v python3 > /dev/null
cache=$(mktemp -d)
PYTHONPYCACHEPREFIX="$cache" python3 -m compileall -q common-3 1[1-5]/*.py
rm -rf "$cache"
