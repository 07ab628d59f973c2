"""Checked settings: a process, and the configuration that operators publish for the fleet."""
