"""Choice of an engine for a request, latency estimates, engine pace, and retries."""
