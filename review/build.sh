#!/bin/sh
# Builds the stand-ins of the scripts: they are plain Python and only need to compile.
cd "$(dirname "$0")" && python3 -m compileall -q standins */case.py
