"""Numbered events of the placement part."""

import logging

from dotterelbridge.events import Event


class PlacementEvent(Event):
    """Events about the lease, orders and moves."""

    LEASE_GAINED = (
        6001,
        logging.INFO,
        "This VM holds its failure domain's placement lease.",
    )
    LEASE_LOST = (
        6002,
        logging.WARNING,
        "This VM lost the placement lease; another VM takes over after it "
        "ends. Check the links in the domain when this repeats.",
    )
    RECORD_LOST = (
        6003,
        logging.WARNING,
        "A majority of the domain's VMs lost the record of open orders; "
        "placement rebuilds it from inventories and loads nothing on "
        "engines that ignore fencing before order_late_limit_s has passed.",
    )
    TERM_RAISED = (
        6004,
        logging.INFO,
        "An engine reported a fencing number above the holder's; the "
        "holder requests a higher term.",
    )
    ORDER_SENT = (6010, logging.INFO, "An order was sent to an engine.")
    ORDER_SETTLED = (
        6011,
        logging.INFO,
        "An order's outcome is known from the engine.",
    )
    ORDER_EXPIRED = (
        6012,
        logging.WARNING,
        "No effect of an order was seen within order_late_limit_s; the "
        "memory reserved for it is free again. Check the engine's log.",
    )
    ORDER_REFUSED = (
        6013,
        logging.WARNING,
        "An engine refused an order; it is retried after a backoff.",
    )
    ORDER_ANSWER_LOST = (
        6014,
        logging.WARNING,
        "An order got no answer; the same order is sent again and the "
        "memory reserved for it stays reserved.",
    )
    TARGET_OVERFULL = (
        6015,
        logging.ERROR,
        "An inventory lists more than fits into the accelerator's memory "
        "beside the KV cache; the target gets no loads. Check what else "
        "sends it orders.",
    )
    MOVES_PAUSED = (6020, logging.INFO, "An operator paused all moves.")
    MOVES_RESUMED = (6021, logging.INFO, "An operator resumed moves.")
    ITEM_UNREACHABLE = (
        6022,
        logging.WARNING,
        "No engine of the business has a copy of an item; the log line and "
        "'dotterelbridge models' give the reason.",
    )
