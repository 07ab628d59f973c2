#!/usr/bin/env bash
# The stand-ins are plain Python for the project's own .venv (`make setup`); they need no build.
exit 0
