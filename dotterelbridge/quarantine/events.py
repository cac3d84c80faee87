"""Numbered log events of the quarantine."""

import logging

from dotterelbridge.events import Event


class QuarantineEvent(Event):
    """Events 5540 to 5549, and 8513."""

    QUARANTINE_IN_FORCE = (
        5540,
        logging.INFO,
        "The quarantined traits changed on this VM; requests with one "
        "of them are refused.",
    )
    TRAIT_QUARANTINED = (
        5541,
        logging.WARNING,
        "Targets crashed one after the other under requests with one trait "
        "in common; the trait is quarantined. The line names the "
        "targets.",
    )
    TRAIT_TRIAL_STARTED = (
        5542,
        logging.INFO,
        "One VM may send one request with a quarantined trait.",
    )
    TRAIT_RELEASED = (
        5543,
        logging.INFO,
        "A request with a quarantined trait was answered completely; "
        "the trait is released.",
    )
    QUARANTINE_NOT_CHANGED = (
        5544,
        logging.WARNING,
        "A change of the quarantine could not be committed to the log; it "
        "is proposed again.",
    )
    TRAIT_BLOCKED_LOCALLY = (
        5545,
        logging.WARNING,
        "Targets crashed one after the other under requests with one trait, "
        "and no leader of the log took the reports; this VM refuses such "
        "requests by itself for a time.",
    )
    TARGET_CRASHED = (
        8513,
        logging.WARNING,
        "A target closed its connections and cannot be reached, or started "
        "again, without having left; the line names the traits of the "
        "requests that it was beginning to answer.",
    )
