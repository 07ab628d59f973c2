"""Choice of an engine owner for a request, and the retry budget."""
