"""Settings of the fleet's parts."""

from typing import Annotated

from msgspec import Meta

from dotterelbridge.settings_schema import Section

_Milliseconds = Annotated[int, Meta(ge=1, le=600_000)]
_Count = Annotated[int, Meta(ge=1)]


class FleetSettings(Section, frozen=True, kw_only=True):
    """Section ``[fleet]``."""

    poll_hold_ms: _Milliseconds = 500
    """Longest time that a source waits for news before it answers."""
    news_gather_ms: _Milliseconds = 40
    """Time for which a source gathers news before it answers: about that
    in which an adapter is ordered and loaded."""
    load_gather_ms: _Milliseconds = 250
    """The same where only loads have changed: half of the interval of
    reports."""
    poll_grace_ms: _Milliseconds = 500
    """Time beyond it after which a source is given up: two crossings of
    the slowest link and a lost packet sent again."""
    return_ms: _Milliseconds = 5000
    """Time after which a VM that left its nearest source tries it anew."""
    retry_ms: _Milliseconds = 50
    """Pause before another source is asked."""
    detached_limit_ms: _Milliseconds = 1500
    """Age of a source's own knowledge from which another is preferred;
    well within the time in which routes must be in force."""
    settle_ms: _Milliseconds = 2500
    """Time after the start for which only a source that is up to date
    counts."""
    follower_kept_s: Annotated[float, Meta(gt=0)] = 5.0
    """Time without a poll after which a follower counts no more."""
    list_interval_ms: _Milliseconds = 300
    """Time between two reads of the platform's list."""
    list_timeout_ms: _Milliseconds = 1000
    absent_reads: _Count = 2
    """Whole reads in a row without a target after which it is gone."""
    report_interval_ms: _Milliseconds = 500
    """Time between two reports of one engine."""
    report_timeout_ms: _Milliseconds = 500
    demand_interval_ms: _Milliseconds = 500
    """Time between two demand reports of an entry VM."""
    demand_urgent_ms: _Milliseconds = 20
    """The same while requests wait for an item that nothing holds."""
    holder_wait_ms: _Milliseconds = 3200
    """Time from an election until the VM gives orders: the platform's
    lease time, in which no two VMs may take turns, and a margin for the
    slowest link and for timers."""
    order_timeout_ms: _Milliseconds = 400
    """Time without an answer after which an order is sent again."""
    adapter_load_ms: _Milliseconds = 25
    """Time from an accepted order until an adapter is expected ready."""
    drop_notice_ms: _Milliseconds = 60
    """Time between taking a model out of use and its unload, in which
    the entry VMs hear of it: one crossing of the slowest link to the
    control VMs, one of a request on its way, and a margin."""
    store_burst_s: Annotated[float, Meta(gt=0)] = 5.0
    """Window over which loads from the weight store are counted."""
