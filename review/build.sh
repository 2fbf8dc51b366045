#!/usr/bin/env bash
# The stand-ins of the cases are Python and need no build. Fails where the interpreter is too old for them.
cd "$(dirname "$0")" || exit 1
exec python3 - harness.py ?/case.py <<'CHECK'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
CHECK
