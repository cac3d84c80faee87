"""The listeners for callers and operators."""
