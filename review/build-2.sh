#!/bin/sh
# Builds the stand-ins of the cases from 4 on. They are Python and need its standard library only;
# the nodes come from the build of the deploy file.
cd "$(dirname "$0")" || exit 2
python3 -m compileall -q support_2 [4-8]
