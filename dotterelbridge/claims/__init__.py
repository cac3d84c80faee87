"""Claims on idempotency keys: each keyed call runs at most once."""
