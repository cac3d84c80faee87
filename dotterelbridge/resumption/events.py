"""Numbered log events of the records of streams."""

import logging

from dotterelbridge.events import Event


class ResumptionEvent(Event):
    """Events 9800 to 9899."""

    RECORDS_READ = (
        9801,
        logging.INFO,
        "The records of streams that an earlier process wrote were read; "
        "damaged parts of the files were passed over.",
    )
    RECORDS_NOT_READ = (
        9802,
        logging.WARNING,
        "A file with records of streams could not be read. Streams that "
        "began before the start may be refused; check the data folder.",
    )
    RECORDS_NOT_WRITTEN = (
        9803,
        logging.WARNING,
        "Records of streams could not be written and are kept in memory "
        "only; writing is tried again. Check the free space and the disk of "
        "the data folder.",
    )
    RECORDS_WRITTEN_AGAIN = (
        9804,
        logging.INFO,
        "Records of streams are written to the data folder again.",
    )
    ORIGIN_UNKNOWN = (
        9805,
        logging.INFO,
        "A stream is not resumed, because the software version that began it "
        "is not known for certain: there is no record, or two that conflict, "
        "and more than one version may have served.",
    )
    RECORDS_DROPPED = (
        9806,
        logging.WARNING,
        "There are more records of streams than records_limit or "
        "entry_records_limit allows; the oldest are dropped. Logged once a "
        "minute at most; raise the limit if memory allows.",
    )
