"""Live nodes of the fleet, and who owns which engine."""
