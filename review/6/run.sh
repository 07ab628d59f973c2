#!/bin/sh
# Exits with 1 if a tenant got more than its limit, 0 if not, 2 if the case couldn't run.
exec "$(dirname "$0")/../support_2/run.sh" "$(dirname "$0")/case.py"
