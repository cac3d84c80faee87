"""Log events of the gateway."""

import logging

from dotterelbridge.events import Event


class GatewayEvent(Event):
    """Events 8500 to 8999."""

    REQUEST_ANSWERED = (
        8501,
        logging.INFO,
        "A request got a target's answer; the line names the target, the "
        "attempts and the times.",
    )
    REQUEST_REFUSED = (
        8502,
        logging.WARNING,
        "A request was refused and certainly has not run; the line tells "
        "what decided it.",
    )
    REQUEST_UNKNOWN = (
        8503,
        logging.WARNING,
        "A request got a gateway's failure; whether it ran is not known.",
    )
    REQUEST_CUT = (
        8504,
        logging.WARNING,
        "A stream that had begun could not be brought to its end; its "
        "connection was closed.",
    )
    CALLER_GONE = (
        8505,
        logging.INFO,
        "The caller hung up before its answer was whole; the target was "
        "told by closing the connection.",
    )
    REQUEST_WAITS = (
        8506,
        logging.INFO,
        "A request waits for an item or a place; the line tells why.",
    )
    ATTEMPT_FAILED = (
        8507,
        logging.WARNING,
        "An attempt at a target failed; the line tells whether the request "
        "may have run there and whether another attempt follows.",
    )
    STREAM_RESUMED = (
        8508,
        logging.INFO,
        "A broken stream goes on at another target.",
    )
    TARGET_EJECTED = (
        8509,
        logging.WARNING,
        "A target failed several times in a row; it gets no requests for "
        "the time that the line names.",
    )
    RETRY_BUDGET_SPENT = (
        8510,
        logging.WARNING,
        "A request was not sent again: this VM's share of the retries of "
        "its service is spent.",
    )
