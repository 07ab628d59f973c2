"""Batch jobs: what the log says of them, who works on them, and how their items run."""
