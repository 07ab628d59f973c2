"""Typed messages between nodes and in the log, and their framing."""
