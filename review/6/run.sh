#!/bin/sh
# Exits with 1 if a tenant got more than its limit, 0 if it did not, 2 if it couldn't run.
exec python3 "$(dirname "$0")/case.py"
