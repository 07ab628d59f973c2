"""Topics followed in the store, and the configuration received from the store or from peers."""
