"""Quotas of teams, which hold for the sum over all entry VMs.

The leader of the replicated log keeps a token bucket for each team. Entry VMs
lease credit from it and charge requests to that credit.
"""
