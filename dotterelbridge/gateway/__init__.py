"""Serves requests by route, at targets that the platform lists."""
