"""Authenticated websocket links between the daemons."""
