"""Fault-injection soak test that runs the real programs as processes on this machine.

`python -m tests.soak --minutes 5 --seed 7` runs nodes, engines and a test store, and sends online
requests and batch jobs. Meanwhile it kills and stops processes, cuts and delays connections, and
checks invariants against what clients and engines observe. Everything is drawn from the seed
except for what the machine's own timing decides.
"""
