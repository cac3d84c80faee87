#!/usr/bin/env bash
# Streams without length: does one that a killed front cut look complete?
cd "$(dirname "$0")" && exec python3 run.py
