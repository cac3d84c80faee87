"""A replicated log with durable storage."""
