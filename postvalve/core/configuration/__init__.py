"""Revision history of the fleet configuration, and resolution of its rules."""
