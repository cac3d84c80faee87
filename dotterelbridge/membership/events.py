"""Numbered log events of the membership component."""

import logging

from dotterelbridge.events import Event


class MembershipEvent(Event):
    """Events 5001 to 5012: state changes of VMs, targets and domains."""

    VM_STATE_CHANGED = (
        5001,
        logging.INFO,
        "A VM of this failure domain changed its state; check the VM if "
        "the state is lost.",
    )
    VM_RESTARTED = (
        5002,
        logging.INFO,
        "A heartbeat with a new incarnation arrived from a VM: its daemon "
        "restarted.",
    )
    TARGET_STATE_CHANGED = (
        5003,
        logging.INFO,
        "A target changed its state; check its process if the state is lost.",
    )
    LEAVING_MARKED = (
        5004,
        logging.INFO,
        "An operator marked a VM or target as leaving; it gets no new "
        "requests.",
    )
    LEAVING_CLEARED = (
        5005,
        logging.INFO,
        "An operator removed the leaving mark of a VM or target.",
    )
    PLATFORM_LIST_FAILED = (
        5010,
        logging.WARNING,
        "The platform list could not be read; the last list read stays in "
        "use. "
        "Check [platform] list_url.",
    )
    DOMAIN_SILENT = (
        5011,
        logging.WARNING,
        "No messages arrive from another failure domain; the last records "
        "received from it stay in use. Check the links between the domains.",
    )
    DOMAIN_HEARD = (
        5012,
        logging.INFO,
        "Messages from another failure domain arrive again.",
    )
