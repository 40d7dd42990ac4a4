#!/bin/sh
# Builds what the scripts in review/11 to review/15 start besides the gateway.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review/common-3 review/11 review/12 review/13 review/14 review/15
