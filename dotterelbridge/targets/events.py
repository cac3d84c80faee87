"""Numbered log events of the connections to targets."""

import logging

from dotterelbridge.events import Event


class TargetEvent(Event):
    """Events 9000 to 9499."""

    CONNECTION_SILENT = (
        9001,
        logging.WARNING,
        "A connection carried no byte for longer than its limit; it and "
        "the unused connections that are as old were closed. If it "
        "repeats, look for a device between the two ends that drops "
        "connections.",
    )
    ANSWER_CROSSED = (
        9002,
        logging.ERROR,
        "An answer carried another request's id and was thrown away. "
        "Report the target to its owner.",
    )
    ANSWER_UNSOLICITED = (
        9003,
        logging.WARNING,
        "Bytes arrived on an unused connection, which was closed. Report "
        "the target to its owner.",
    )
