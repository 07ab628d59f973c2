"""Clients of the log, the machine list and the engines, in the protocol that postvalve's emulators
implement."""
