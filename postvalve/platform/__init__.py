"""Adapters to what the platform provides: log, machine list, engines."""
