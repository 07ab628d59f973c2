"""The HTTP interface that callers and operators see."""
