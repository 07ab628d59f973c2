"""Connections to engines, server-sent event parsing and the quarantine check of each request."""
