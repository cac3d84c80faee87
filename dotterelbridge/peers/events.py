"""Log events of the links between daemons."""

import logging

from dotterelbridge.events import Event


class PeerEvent(Event):
    """Events 2000 to 2999."""

    LINK_UP = (2001, logging.INFO, "A link to a peer is up.")
    LINK_DOWN = (
        2002,
        logging.INFO,
        "A link to a peer ended; the dialling side connects again.",
    )
    LINK_SILENT = (
        2003,
        logging.WARNING,
        "A link delivered nothing within silence_limit_ms although its "
        "connection is open; it is closed and dialled again.",
    )
    AUTHENTICATION_REFUSED = (
        2004,
        logging.WARNING,
        "The other end did not prove the shared secret; the connection "
        "was refused. Check that both VMs hold the same secret file.",
    )
    PROTOCOL_VIOLATED = (
        2005,
        logging.WARNING,
        "A peer sent a frame that the protocol does not allow; the frame "
        "was refused. Check that both VMs run the same release.",
    )
    DIAL_FAILED = (
        2006,
        logging.DEBUG,
        "A connection to a peer could not be opened; it is tried again.",
    )
    HANDLER_FAILED = (
        2007,
        logging.ERROR,
        "Handling a peer's message failed; the peer was told. Read the "
        "error and report a bug.",
    )
    PEER_RESTARTED = (
        2008,
        logging.INFO,
        "A peer came back as a new process; links to the old one closed.",
    )
