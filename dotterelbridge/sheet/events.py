"""Numbered events of the sheet."""

import logging

from dotterelbridge.events import Event


class SheetEvent(Event):
    """Events 3500 to 3999."""

    SHEET_IN_FORCE = (
        3501,
        logging.INFO,
        "A later revision of the sheet is in force on this VM.",
    )
    SHEET_ACCEPTED = (
        3502,
        logging.INFO,
        "A submitted sheet was accepted; it is being distributed to all VMs.",
    )
    SHEET_REFUSED = (
        3503,
        logging.WARNING,
        "A submitted sheet was refused; see the reason in this line.",
    )
    SOURCE_CHANGED = (
        3504,
        logging.INFO,
        "This VM now gets the sheet from another VM.",
    )
    SOURCE_SILENT = (
        3505,
        logging.WARNING,
        "The VM that this one gets the sheet from did not reply in time; "
        "the next one is tried.",
    )
    SOURCES_EXHAUSTED = (
        3506,
        logging.WARNING,
        "No VM with contact to the log can be reached; the sheet in force "
        "stays. Check the links to the VMs with a data folder.",
    )
    SHEET_MISMATCH = (
        3507,
        logging.ERROR,
        "The rows after a change do not match their checksum; the whole "
        "sheet is fetched. Report a bug if this repeats.",
    )
    OLDER_REFUSED = (
        3508,
        logging.WARNING,
        "A source offered an older revision than the one in force; it was "
        "ignored.",
    )
    SHEET_NOT_SAVED = (
        3509,
        logging.ERROR,
        "A new sheet could not be written to the data folder; it does not "
        "come into force before that succeeds. Check the disk.",
    )
