"""Numbered events of claims."""

import logging

from dotterelbridge.events import Event


class ClaimEvent(Event):
    """Events 4000 to 4499."""

    CLAIM_NOT_MADE = (
        4001,
        logging.WARNING,
        "A key could not be claimed in time; its call was refused and not "
        "run. Check that a majority of the VMs with a data folder is up.",
    )
    CLAIM_UNCERTAIN = (
        4002,
        logging.WARNING,
        "Whether a key was claimed is not known; its call was not run, and "
        "the key is released in the background.",
    )
    OUTCOME_DELAYED = (
        4003,
        logging.WARNING,
        "The outcome of a keyed call could not be recorded in time; it is "
        "sent again in the background.",
    )
    OUTCOME_DROPPED = (
        4004,
        logging.ERROR,
        "The queue of outcomes is full and the oldest one was dropped; the "
        "key's state becomes unknown. Check that the log has a majority.",
    )
    OUTCOME_NOT_OWNED = (
        4005,
        logging.WARNING,
        "An outcome was received for a key that the attempt does not hold; "
        "it was ignored.",
    )
    TABLE_FULL = (
        4006,
        logging.ERROR,
        "The claim table is full; keyed calls are refused and not run. "
        "Raise the limits of [claims] or shorten its ages.",
    )
    OUTCOMES_LEFT = (
        4007,
        logging.ERROR,
        "This VM stops before all outcomes of keyed calls are recorded; "
        "their keys become unknown. Check that the log has a majority.",
    )
