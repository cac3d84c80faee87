"""Trace replay and measurements with real daemon processes."""
