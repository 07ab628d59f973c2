"""Typed messages exchanged between nodes and stored in the log, and their encoding in frames."""
