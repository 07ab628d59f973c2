"""Experiments: users' scenarios on whole nodes under virtual time."""
