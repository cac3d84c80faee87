"""Numbered log events of routing."""

import logging

from dotterelbridge.events import Event


class RoutingEvent(Event):
    """Events 7000 to 7999."""

    TARGET_EJECTED = (
        7001,
        logging.WARNING,
        "A target failed several times in a row and gets no requests for "
        "duration_s seconds. Check the target.",
    )
    TARGET_RETURNED = (
        7002,
        logging.INFO,
        "An ejected target answered a probe and takes requests again, one "
        "at a time at first (slow start).",
    )
    BACKGROUND_CANCELLED = (
        7003,
        logging.INFO,
        "A background stream was preempted by urgent work; it is resumed "
        "later.",
    )
    RETRY_REFUSED = (
        7004,
        logging.WARNING,
        "The retry budget or the limit on attempts is exhausted, so a "
        "failure was returned to the caller. Check the targets that fail.",
    )
