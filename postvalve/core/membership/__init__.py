"""Membership of the fleet: live nodes, their load, and the ownership of engines."""
