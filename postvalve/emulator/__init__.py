"""Our stand-ins for the platform and its engines."""
