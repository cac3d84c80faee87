"""Log events of the fleet's parts."""

import logging

from dotterelbridge.events import Event


class FleetEvent(Event):
    """Events 5500 to 5999."""

    TARGET_SEEN = (
        5501,
        logging.INFO,
        "A target was listed for the first time; requests may be sent to it.",
    )
    TARGET_LEAVING = (
        5502,
        logging.INFO,
        "A target is leaving; it gets no new requests.",
    )
    TARGET_GONE = (5503, logging.INFO, "A target is no longer listed.")
    LISTING_FAILED = (
        5504,
        logging.WARNING,
        "The platform's list could not be read; what was known stays in use.",
    )
    LISTING_READ_AGAIN = (
        5505,
        logging.INFO,
        "The platform's list can be read again.",
    )
    ENTRY_IGNORED = (
        5506,
        logging.WARNING,
        "An entry of the platform's list "
        "names no target that can be used; it is ignored.",
    )
    SOURCE_CHANGED = (
        5510,
        logging.INFO,
        "This VM follows another source of "
        "the fleet's state; the line tells why.",
    )
    SOURCE_LOST = (
        5511,
        logging.WARNING,
        "No source of the fleet's state answers; what was known stays in use.",
    )
    ORDERING_STARTED = (
        5520,
        logging.INFO,
        "This VM gives the orders to the engines from now on.",
    )
    ORDERING_WAITS = (
        5521,
        logging.INFO,
        "This VM may give orders once the "
        "holder before it certainly gives none.",
    )
    ORDERING_ENDED = (5522, logging.INFO, "This VM gives no more orders.")
    ORDER_SENT = (5530, logging.INFO, "An order was sent to an engine.")
    ORDER_ANSWERED = (5531, logging.INFO, "An engine answered an order.")
    ORDER_OVERDUE = (
        5532,
        logging.WARNING,
        "An order got no answer; it is "
        "sent again for the same state of the engine.",
    )
    REPORT_FAILED = (
        5533,
        logging.WARNING,
        "An engine's report could not be read.",
    )
    MOVE_PLANNED = (
        5536,
        logging.INFO,
        "An item is to be brought to an engine; the line tells why, what "
        "makes room for it, and how long it is expected to take.",
    )
    ENGINE_KNOWN = (
        5535,
        logging.INFO,
        "The first report of an engine was read; orders may be sent to it.",
    )
    ITEM_ABSENT = (
        5534,
        logging.WARNING,
        "An item that requests wait for finds no room on any engine.",
    )
    PLANNED = (
        5537,
        logging.INFO,
        "What the plans of about a second did and cost: the longest one, "
        "what held wanted items up, the age of the oldest report, and what "
        "requests wait for.",
    )
