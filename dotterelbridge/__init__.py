"""Serves many models on fewer accelerators for several businesses."""

__version__ = "0.1.0"
