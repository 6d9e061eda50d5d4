#!/usr/bin/env bash
# Prepares the stand-ins of review/4 to review/6. They are Python scripts that
# need the standard library only, so there is nothing to compile: this checks
# that each of them can be read by the Python that runs them.
set -euo pipefail
cd "$(dirname "$0")"
for script in common-2/*.py [456]/*.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$script"
done
