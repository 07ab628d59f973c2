"""Command line of postvalve: one module a command."""
