"""Discovers targets and places models and adapters on their engines.

One control VM at a time, the active controller, sends load and unload
orders to the engines. It publishes the state of all targets to the other
VMs.
"""
