#!/usr/bin/env bash
# Compiles the stand-ins and the cases; they need nothing but Python's standard library.
cd "$(dirname "$0")" && exec python3 -m compileall -q stage [1-5]
