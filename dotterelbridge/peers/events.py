"""Log events of the links between daemons."""

import logging

from dotterelbridge.events import Event


class PeerEvent(Event):
    """Events 2000 to 2999."""

    LINK_UP = (2001, logging.INFO, "A link to a peer is up.")
    LINK_DOWN = (
        2002,
        logging.INFO,
        "A link to a peer ended; the side that dialled it reconnects.",
    )
    LINK_SILENT = (
        2003,
        logging.WARNING,
        "No frame arrived on a link within silence_limit_ms although its "
        "connection is open; it is closed and the peer is dialled again.",
    )
    AUTHENTICATION_REFUSED = (
        2004,
        logging.WARNING,
        "The handshake with a peer failed; the connection was refused. "
        "Check that both VMs have the same secret file.",
    )
    PROTOCOL_VIOLATED = (
        2005,
        logging.WARNING,
        "A peer sent an invalid frame, which was discarded. Check that "
        "both VMs run the same release.",
    )
    DIAL_FAILED = (
        2006,
        logging.DEBUG,
        "A connection to a peer could not be opened; it is retried. The "
        "field reason tells whether this VM's time limit passed, or what "
        "failed.",
    )
    HANDLER_FAILED = (
        2007,
        logging.ERROR,
        "The handler of a peer's message raised an exception; a request was "
        "answered with an error. Read the error and report a bug.",
    )
    PEER_RESTARTED = (
        2008,
        logging.INFO,
        "A peer restarted; the links to its earlier process were closed.",
    )
    HANDSHAKE_ABANDONED = (
        2010,
        logging.INFO,
        "A peer closed its connection before it was authenticated: it has "
        "enough links without this one, or its handshake_timeout_ms passed. "
        "Many at once with a long duration mean that this VM answers late.",
    )
    HANDSHAKE_TIMED_OUT = (
        2011,
        logging.WARNING,
        "A peer did not finish the handshake within handshake_timeout_ms; "
        "the connection was closed. Check the load of both VMs.",
    )
    DIAL_STOPPED = (
        2012,
        logging.DEBUG,
        "This VM ended an attempt to dial a peer, as it has enough links "
        "without it or the peer is no longer listed.",
    )
    PEER_UNREACHABLE = (
        2013,
        logging.INFO,
        "Several attempts in a row to dial a peer failed; they continue. "
        "Logged again each time their number has doubled. Check that the "
        "peer runs and that the network reaches it.",
    )
    MESSAGE_NOT_SENT = (
        2009,
        logging.ERROR,
        "A message holds a value that cannot be encoded, so it was not sent. "
        "Read the error and report a bug.",
    )
