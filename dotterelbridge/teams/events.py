"""Log events of teams."""

import logging

from dotterelbridge.events import Event


class TeamsEvent(Event):
    """Events 9600 to 9699."""

    KEY_PERMISSION_EXPIRED = (
        9601,
        logging.WARNING,
        "This VM has had no contact with the leader of the log for too long "
        "to know which keys are valid; requests with keys get 503. Check the "
        "control VMs and the links to them.",
    )
    KEY_PERMISSION_RENEWED = (
        9602,
        logging.INFO,
        "This VM knows again which keys are valid and serves requests with "
        "keys.",
    )
