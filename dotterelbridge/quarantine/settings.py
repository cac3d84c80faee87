"""Settings of the quarantine."""

from typing import Annotated

from msgspec import Meta

from dotterelbridge.settings_schema import Section

_Milliseconds = Annotated[int, Meta(ge=1, le=600_000)]
_Count = Annotated[int, Meta(ge=1)]


class QuarantineSettings(Section, frozen=True, kw_only=True):
    """Section ``[quarantine]``; nodes have these options in ``[fleet]``."""

    quarantine_crashes: _Count = 3
    """Crashes of targets under requests with one trait, without a complete
    answer in between, after which requests with the trait are refused. A
    trait is a part of a prompt, or the same request sent again."""
    quarantine_caller_crashes: _Count = 8
    """The same for all requests of a caller, where neither a single request
    nor a prompt part explains the crashes."""
    quarantine_spread_ms: _Milliseconds = 1000
    """Shortest time between the first and the last of these crashes: two
    demand reports, which tell of complete answers. Targets that crash
    together have a common cause elsewhere. Not for the same request, which
    cannot be answered twice in that time."""
    quarantine_settle_ms: _Milliseconds = 600
    """Time after the decisive crash in which reports of complete answers
    may still clear a trait: a demand report and its way to the leader."""
    quarantine_s: Annotated[float, Meta(gt=0)] = 300.0
    """Time after which one request with a quarantined trait is sent as a
    trial; doubled after each trial. Also the time after which callers of
    refused requests may ask again."""
    quarantine_request_s: Annotated[float, Meta(gt=0)] = 60.0
    """The same where a single request is quarantined."""
