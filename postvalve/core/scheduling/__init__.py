"""Fair scheduling among tenants: shares, queue order over all nodes, and usage accounts."""
