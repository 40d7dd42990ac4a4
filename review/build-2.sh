#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start. They are Python files
# that need no library but Python's own, so that they are only compiled.
cd "$(dirname "$0")" || exit 2
for folder in common-2 6 7 8 9 10; do
    [ ! -d "$folder" ] || python3 -m compileall -q "$folder" || exit 1
done
