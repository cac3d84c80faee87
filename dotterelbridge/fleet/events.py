"""Log events of the fleet package."""

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
        "A target is leaving; no new requests are sent to it.",
    )
    TARGET_GONE = (5503, logging.INFO, "A target is no longer listed.")
    LISTING_FAILED = (
        5504,
        logging.WARNING,
        "The platform's list could not be read; the last known targets stay "
        "in use.",
    )
    LISTING_READ_AGAIN = (
        5505,
        logging.INFO,
        "The platform's list can be read again.",
    )
    ENTRY_IGNORED = (
        5506,
        logging.WARNING,
        "An entry of the platform's list does not describe a usable target; "
        "it is ignored.",
    )
    SOURCE_CHANGED = (
        5510,
        logging.INFO,
        "This VM follows another source of the fleet state; the line names "
        "both and the age of this VM's state.",
    )
    SOURCE_LOST = (
        5511,
        logging.WARNING,
        "A source of the fleet state did not answer; another one is polled, "
        "and the last known state stays in use.",
    )
    ORDERING_STARTED = (
        5520,
        logging.INFO,
        "This VM sends the orders to the engines from now on.",
    )
    ORDERING_WAITS = (
        5521,
        logging.INFO,
        "This VM waits until the previous holder can no longer send orders.",
    )
    ORDERING_ENDED = (5522, logging.INFO, "This VM sends no more orders.")
    ORDER_SENT = (5530, logging.INFO, "An order was sent to an engine.")
    ORDER_ANSWERED = (5531, logging.INFO, "An engine answered an order.")
    ORDER_OVERDUE = (
        5532,
        logging.WARNING,
        "An engine did not answer an order; the same order is sent again "
        "unless this VM can no longer send orders.",
    )
    REPORT_FAILED = (
        5533,
        logging.WARNING,
        "An engine's report could not be read.",
    )
    MOVE_PLANNED = (
        5536,
        logging.INFO,
        "The load of an item on an engine was planned; the line names the "
        "reason, the item that is evicted for it, and the expected duration.",
    )
    MOVED_BY_SPEED = (
        5538,
        logging.INFO,
        "A load because of the speeds of engines was planned; the line names "
        "the model whose streams are late, both engines and speeds, and how "
        "many streams a second the load is expected to make punctual.",
    )
    ENGINE_KNOWN = (
        5535,
        logging.INFO,
        "The first report of an engine was read; orders may be sent to it.",
    )
    ITEM_ABSENT = (
        5534,
        logging.WARNING,
        "No engine has room for an item that requests wait for.",
    )
    PLANNED = (
        5537,
        logging.INFO,
        "Summary of one service's plans of about a second: the longest plan, "
        "the reasons for delayed items, the age of the oldest report, and "
        "the items and requests that wait.",
    )
    ERROR_SHARE_CHANGED = (
        5539,
        logging.WARNING,
        "The share of requests that a target answers with server errors has "
        "changed, over all entry VMs; from a half on it gets trials only.",
    )
