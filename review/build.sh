#!/bin/sh
# The stand-ins need Python 3.11 and its standard library only; nothing is
# compiled or installed. This checks that they can be read.
cd "$(dirname "$0")" || exit 1
exec python3 -B -c '
import ast, pathlib, sys
assert sys.version_info >= (3, 11), sys.version
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
    print("checked", path)
'
