#!/bin/sh
# Builds the stand-ins that the cases start: checks that their sources compile.
here=$(cd "$(dirname "$0")" && pwd)
exec python3 - "$here" <<'PYTHON'
import pathlib
import sys

for path in sorted(pathlib.Path(sys.argv[1]).rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
