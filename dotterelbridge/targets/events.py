"""Numbered log events of the connections to targets."""

import logging

from dotterelbridge.events import Event


class TargetEvent(Event):
    """Events 9000 to 9499."""

    CONNECTION_SILENT = (
        9001,
        logging.WARNING,
        "No byte arrived on a connection within its limit; it and the idle "
        "connections that are as old were closed. If this repeats, look "
        "for a network device between the VM and the target that drops "
        "connections.",
    )
    ANSWER_CROSSED = (
        9002,
        logging.ERROR,
        "A response carried the ID of another request and was discarded. "
        "Report the target to its owner.",
    )
    ANSWER_UNSOLICITED = (
        9003,
        logging.WARNING,
        "Bytes arrived on an idle connection, which was closed. Report "
        "the target to its owner.",
    )
