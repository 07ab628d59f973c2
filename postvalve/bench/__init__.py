"""Benchmarks: cost of relaying a stream, cost per unit of work, and the load that they use."""
