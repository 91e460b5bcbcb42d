#!/bin/sh
# The stand-ins are Python programs and need no build. This checks that the machine's Python is
# recent enough and can read them. The service itself is built by the deploy file's command.
set -eu
cd "$(dirname "$0")"
python3 -B - standins/*.py [0-9]/test.py <<'PYTHON'
import sys
import tomllib

for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
print(f"{len(sys.argv) - 1} files of the stand-ins and cases can be read")
PYTHON
