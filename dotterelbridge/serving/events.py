"""Numbered log events of the callers' listener."""

import logging

from dotterelbridge.events import Event


class ServingEvent(Event):
    """Events 8000 to 8499."""

    DRAIN_STARTED = (
        8001,
        logging.INFO,
        "/readyz returns 503 from now on; requests in flight continue.",
    )
    DRAIN_FINISHED = (
        8002,
        logging.INFO,
        "All requests in flight have been completed.",
    )
    REQUEST_FAILED = (
        8003,
        logging.ERROR,
        "A request failed with an unexpected error; the caller got status "
        "500. Report a bug with this log line.",
    )
    STREAM_RESUMED = (
        8004,
        logging.WARNING,
        "A stream broke and is resumed with another attempt.",
    )
    STREAM_BROKEN = (
        8005,
        logging.WARNING,
        "A stream broke and could not be resumed; the caller's connection "
        "was closed before the end of the stream.",
    )
    RECORD_FAILED = (
        8006,
        logging.ERROR,
        "A call with an idempotency key ended and its claim could not be "
        "updated; the key stays in progress until its outcome counts as "
        "unknown. Check the replicated log.",
    )
    CONNECTION_REFUSED = (
        8007,
        logging.WARNING,
        "The listener refused a request or closed a connection itself; the "
        "field kind says why. Each kind is logged at most once in 10 s; "
        "not_logged counts the others before this line.",
    )
