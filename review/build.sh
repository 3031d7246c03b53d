#!/bin/sh
# The stand-ins are Python, run by the environment of the deploy file's build; nothing has to be compiled.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=. .venv/bin/python -B -c 'import review.common.case, review.common.client, review.common.members'
