"""Placement of models on engines."""
