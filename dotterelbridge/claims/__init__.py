"""Claims that make keyed calls run at most once."""
