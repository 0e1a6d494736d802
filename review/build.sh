#!/usr/bin/env bash
# The stand-ins are Python scripts of the standard library: nothing is compiled.
# Checks that they can be read and that the program of the deploy file is built.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/leverwickd
python3 - <<'END'
import ast, pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
END
echo "review: ready"
