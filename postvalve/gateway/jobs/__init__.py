"""Batch jobs: their log, the claims on them, and the execution of their items."""
