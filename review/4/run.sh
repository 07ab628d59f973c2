#!/bin/sh
# Exits with 1 if a job ran whose every attempt was refused, 0 if none did, 2 if it couldn't run.
exec python3 "$(dirname "$0")/case.py"
