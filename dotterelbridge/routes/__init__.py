"""Routes: which service handles a request, and under which limits."""
