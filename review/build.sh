#!/usr/bin/env bash
# The stand-ins of the cases are Python and need no build. Fails where the interpreter is too old for them.
cd "$(dirname "$0")" && python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' && python3 -m py_compile harness.py ?/case.py
