"""Connections to engines, the events of their answers, and what holds requests back from them."""
