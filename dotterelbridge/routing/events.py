"""Numbered log events of routing."""

import logging

from dotterelbridge.events import Event


class RoutingEvent(Event):
    """Events 7000 to 7999."""

    TARGET_EJECTED = (
        7001,
        logging.WARNING,
        "A target failed several times in a row and gets no requests for "
        "the time that the line names. Check the target.",
    )
    TARGET_RETURNED = (
        7002,
        logging.INFO,
        "An ejected target answered a probe; its share grows from one "
        "request at a time.",
    )
    BACKGROUND_CANCELLED = (
        7003,
        logging.INFO,
        "A background stream made room for urgent work and is resumed later.",
    )
    RETRY_REFUSED = (
        7004,
        logging.WARNING,
        "The retry budget is spent, so a failure went to the caller. "
        "Check the targets that fail.",
    )
