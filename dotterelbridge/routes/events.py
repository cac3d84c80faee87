"""Log events of routes."""

import logging

from dotterelbridge.events import Event


class RoutesEvent(Event):
    """Events 3700 to 3799."""

    ROUTES_IN_FORCE = (
        3701,
        logging.INFO,
        "A new version of the routes is active on this VM.",
    )
    ROUTES_ACKNOWLEDGED = (
        3702,
        logging.INFO,
        "A submitted version was acknowledged; the line names the newest "
        "version that is committed on a majority of the control VMs.",
    )
    ROUTES_REFUSED = (
        3703,
        logging.WARNING,
        "A submitted version was rejected; no part of it is active.",
    )
    ROUTES_UNANSWERED = (
        3704,
        logging.WARNING,
        "The outcome of a submission or a read is not known; it can be "
        "repeated at any control VM.",
    )
