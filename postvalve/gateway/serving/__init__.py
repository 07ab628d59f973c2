"""Serves client requests: HTTP, admission decisions in their order, and attempts at engines."""
