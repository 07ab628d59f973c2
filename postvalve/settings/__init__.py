"""Validated settings of a process, and the configurations that operators publish for a fleet."""
