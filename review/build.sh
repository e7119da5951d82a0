#!/bin/sh
# The stand-ins of the cases need nothing but Python's standard library.
exec python3 -S -m compileall -q "$(dirname "$0")"
