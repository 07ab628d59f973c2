"""Who may start: tenant limits, and the slots of an owned engine."""
