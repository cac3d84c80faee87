"""Numbered log events of quotas."""

import logging

from dotterelbridge.events import Event


class QuotaEvent(Event):
    """Events 9700 to 9799."""

    ISSUING_STARTED = (
        9701,
        logging.INFO,
        "This VM leads the log and issues credit for quotas, from a part of "
        "each bucket.",
    )
    ISSUER_LOST = (
        9702,
        logging.WARNING,
        "No leader answers requests for credit. This VM serves teams with "
        "quotas at their own recent pace and its share of the quota for "
        "some seconds, then refuses them with 503.",
    )
    ISSUER_REACHED = (
        9703,
        logging.INFO,
        "A leader answers requests for credit again.",
    )
    TEAM_OVER_QUOTA = (
        9704,
        logging.INFO,
        "Requests of a team are refused with 429 because it has used its "
        "quota; logged once for each team while it lasts. See "
        "docs/operators/quotas.md.",
    )
