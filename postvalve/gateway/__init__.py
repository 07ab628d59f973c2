"""Routed traffic: requests that are passed on unchanged, and batch jobs made up of such
requests."""
