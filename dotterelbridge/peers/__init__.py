"""Authenticated WebSocket links between the daemons."""
