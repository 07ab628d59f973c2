"""Accepted revisions of the fleet configuration."""
