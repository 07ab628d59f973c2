"""Buffers for slow clients, and limits on slow transfers."""
