"""Batch jobs at a node: stores on the log, the holder of shards and the runner of items."""
