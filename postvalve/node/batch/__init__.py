"""Batch work at a node: stores on the log, holder of shards, runner at owned engines."""
