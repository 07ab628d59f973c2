"""A fault soak: the real programs as processes on this machine, with faults from outside of them.

`python -m tests.soak --minutes 5 --seed 7` runs nodes, engines and a store of ours, sends online
requests and batch jobs, kills, stops, cuts and delays, and checks while it runs what must always
hold, from what clients and engines see. Everything is drawn from the seed but for what the
machine's own timing decides.
"""
