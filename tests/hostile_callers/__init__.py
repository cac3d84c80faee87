"""Tests of callers that send what no ordinary caller sends."""
