#!/bin/sh
# Exits with 1 if a stopping node cut a stream that its worker had not ended, 0 if not, 2 if the case couldn't run.
exec "$(dirname "$0")/../support_2/run.sh" "$(dirname "$0")/case.py"
