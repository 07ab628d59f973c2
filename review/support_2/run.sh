#!/bin/sh
# Runs a case. Its exit code for a broken rule is 10, as Python itself exits with 1 on errors.
python3 "$1" &
child=$!
trap 'kill -TERM "$child" 2>/dev/null' TERM INT
wait "$child"
code=$?
while kill -0 "$child" 2>/dev/null; do
    wait "$child"
    code=$?
done
case $code in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
