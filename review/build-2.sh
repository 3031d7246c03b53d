#!/bin/sh
# After the deploy file's build: all stand-ins of cases 6 to 10 are Python and run in its environment, so this
# only compiles them, in memory, and imports what they share with the project's own stand-ins.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -B - review/common2/*.py review/[6-9]/case.py review/10/case.py <<'PROGRAM'
import os
import sys

sys.path.insert(0, os.getcwd())
for name in sys.argv[1:]:
    if os.path.exists(name):
        with open(name, encoding="utf-8") as file:
            compile(file.read(), name, "exec")
import lupintack.standins.deployment
import review.common2.cdni
import review.common2.frame
import review.common2.net
import review.common2.site
PROGRAM
