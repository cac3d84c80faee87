"""Routes: which service takes a request, and under which limits."""
