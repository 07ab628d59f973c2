"""What is followed in the store or fetched from peers: topics and configuration."""
