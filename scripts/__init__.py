"""Programs that start fleets for demonstrations and tests."""
