#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python files that need no
# library but Python's own, so that they are only compiled.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q common [1-5]
