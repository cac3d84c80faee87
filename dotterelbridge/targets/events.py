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
        "A response carried the ID of another request, or none on a reused "
        "connection, and was discarded. Report the target to its owner.",
    )
    ANSWER_UNSOLICITED = (
        9003,
        logging.WARNING,
        "Bytes arrived on an idle connection, which was closed. Report "
        "the target to its owner.",
    )
    TARGET_SAYS_LEAVING = (
        9004,
        logging.INFO,
        "A target said in an answer that it leaves; it gets no new requests "
        "from this VM.",
    )
    TARGET_ASKS_TO_WAIT = (
        9005,
        logging.WARNING,
        "A target answered 503 with Retry-After; it gets no requests from "
        "this VM for so long.",
    )
    TARGET_WAIT_ENDED = (
        9006,
        logging.INFO,
        "The time for which a target wanted no requests is over.",
    )
    STATEMENT_UNREADABLE = (
        9007,
        logging.WARNING,
        "What a target said of itself in a header could not be read; it was "
        "passed over. Report the target to its owner.",
    )
    TARGET_NAMES_RATE_LIMIT = (
        9008,
        logging.WARNING,
        "A target named in an answer how many requests a second it takes "
        "from all VMs together.",
    )
    ANSWER_EVICTED = (
        9010,
        logging.WARNING,
        "The answers that are being received exceed answers_limit_mb; the "
        "largest was ended. Look for a target whose answers do not end.",
    )
    TARGET_RATE_LIMIT_ENDED = (
        9009,
        logging.INFO,
        "A target that had named a rate limit answered without one.",
    )
