"""Decision logic as state machines: typed messages and times in, typed effects out, no I/O."""
