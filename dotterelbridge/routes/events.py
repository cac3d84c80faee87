"""Log events of routes."""

import logging

from dotterelbridge.events import Event


class RoutesEvent(Event):
    """Events 3700 to 3799."""

    ROUTES_IN_FORCE = (
        3701,
        logging.INFO,
        "A new version of the routes is in force on this VM.",
    )
    ROUTES_ACKNOWLEDGED = (
        3702,
        logging.INFO,
        "A submitted version was acknowledged; the line names the version "
        "that is held on a majority.",
    )
    ROUTES_REFUSED = (
        3703,
        logging.WARNING,
        "A submitted version was refused; nothing of it is in force.",
    )
    ROUTES_UNANSWERED = (
        3704,
        logging.WARNING,
        "A submission or a read got no certain answer; it may be sent "
        "again to any VM.",
    )
