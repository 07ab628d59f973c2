"""Measurements: relay cost, slopes, load."""
