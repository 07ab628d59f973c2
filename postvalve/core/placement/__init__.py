"""Which engine holds which model."""
