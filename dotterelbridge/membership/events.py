"""Numbered events of the membership part."""

import logging

from dotterelbridge.events import Event


class MembershipEvent(Event):
    """Events about VMs and targets that come, go or fall silent."""

    VM_STATE_CHANGED = (
        5001,
        logging.INFO,
        "A VM of the own failure domain changed its state; check it when "
        "the state is lost.",
    )
    VM_RESTARTED = (
        5002,
        logging.INFO,
        "A VM was heard under a new incarnation; its earlier life is over.",
    )
    TARGET_STATE_CHANGED = (
        5003,
        logging.INFO,
        "A target changed its state; check its process when it is lost.",
    )
    LEAVING_MARKED = (
        5004,
        logging.INFO,
        "An operator marked a VM or target as leaving; it gets no new work.",
    )
    LEAVING_CLEARED = (
        5005,
        logging.INFO,
        "An operator took the leaving mark away.",
    )
    PLATFORM_LIST_FAILED = (
        5010,
        logging.WARNING,
        "The platform list could not be read; the last one stays in use. "
        "Check [platform] list_url.",
    )
    DOMAIN_SILENT = (
        5011,
        logging.WARNING,
        "No VM of another failure domain answers; its last digest stays "
        "in use. Check the links between the domains.",
    )
    DOMAIN_HEARD = (
        5012,
        logging.INFO,
        "Another failure domain is heard again.",
    )
