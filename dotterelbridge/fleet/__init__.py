"""Targets that the platform lists, what they hold, and orders to them."""
