#!/bin/sh
# The stand-ins of the scripts in review/6 to review/10 need Python 3 and its standard library; nothing is built but
# their byte code, so that a fault of syntax or a missing interpreter shows here.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 8) else "Python 3.8 or later is needed")'
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for file in common-2/*.py [6-9]/*.py 10/*.py; do
  [ -f "$file" ] || continue
  python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], cfile=sys.argv[2] + "/x.pyc", doraise=True)' \
    "$file" "$folder"
done
