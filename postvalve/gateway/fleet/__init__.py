"""What a node knows of engines, other nodes and doubtful requests, and what it tells of them."""
