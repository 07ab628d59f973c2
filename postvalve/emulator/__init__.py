"""Emulators of the platform's services and engines, in real and in virtual time."""
