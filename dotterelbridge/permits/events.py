"""Numbered log events of rate limits and permits."""

import logging

from dotterelbridge.events import Event


class PermitEvent(Event):
    """Events 9500 to 9599."""

    RATE_LIMIT_IN_FORCE = (
        9501,
        logging.WARNING,
        "The leader of the log recorded the rate limit that a target named; "
        "it holds for the sum of all VMs.",
    )
    RATE_LIMIT_LIFTED = (
        9502,
        logging.INFO,
        "The leader of the log recorded that a target names no rate limit "
        "any more.",
    )
    ISSUER_LOST = (
        9503,
        logging.WARNING,
        "No VM answers requests for permits. Targets with a rate limit get "
        "nothing from this VM until it issues its share by itself, in 1.5 s.",
    )
    ISSUER_REACHED = (
        9504,
        logging.INFO,
        "A VM answers requests for permits again.",
    )
