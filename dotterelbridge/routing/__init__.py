"""Choice of target, limits and retries."""
