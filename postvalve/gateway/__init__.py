"""Routed traffic: requests forwarded unchanged, and batch jobs made up of such requests."""
