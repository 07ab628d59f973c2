"""Experiments: scenarios run on whole nodes under virtual time."""
