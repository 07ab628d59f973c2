"""Batch jobs: identity, replayed state, shard leases, item scheduling."""
