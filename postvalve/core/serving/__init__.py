"""What a node keeps for those who read and write slowly, and whom it gives up."""
