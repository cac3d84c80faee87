"""Tests of serving."""
