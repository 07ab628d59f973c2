#!/bin/sh
# Exits with 1 if a stopping node cut a stream that its worker had not ended, 0 if none did, 2 if it couldn't run.
exec python3 "$(dirname "$0")/case.py"
