"""Numbered log events of the callers' listener."""

import logging

from dotterelbridge.events import Event


class ServingEvent(Event):
    """Events 8000 to 8499."""

    DRAIN_STARTED = (
        8001,
        logging.INFO,
        "/readyz is false from now on; requests in flight go on.",
    )
    DRAIN_FINISHED = (
        8002,
        logging.INFO,
        "All requests in flight have been answered.",
    )
    REQUEST_FAILED = (
        8003,
        logging.ERROR,
        "A request failed by a fault of this program; the caller got "
        "status 500. Report a bug with this line.",
    )
    STREAM_RESUMED = (
        8004,
        logging.WARNING,
        "A stream broke and goes on at another attempt.",
    )
    STREAM_BROKEN = (
        8005,
        logging.WARNING,
        "A stream broke and could not go on; the caller's connection was "
        "closed before its end.",
    )
    RECORD_FAILED = (
        8006,
        logging.ERROR,
        "A keyed call ran and its answer could not be recorded; the key "
        "stays in progress and becomes unknown. Check the replicated log.",
    )
