"""Settings of the fleet package."""

from typing import Annotated

from msgspec import Meta

from dotterelbridge.quarantine.settings import QuarantineSettings

_Milliseconds = Annotated[int, Meta(ge=1, le=600_000)]
_Count = Annotated[int, Meta(ge=1)]


class FleetSettings(QuarantineSettings, frozen=True, kw_only=True):
    """Section ``[fleet]``."""

    poll_hold_ms: _Milliseconds = 500
    """Longest time that a source waits for changes before it answers a
    poll."""
    news_gather_ms: _Milliseconds = 40
    """Time for which a source gathers changes before it answers: about the
    time in which an adapter is ordered and loaded."""
    load_gather_ms: _Milliseconds = 250
    """Time for which a source gathers changes that are not urgent, such as
    the loads of targets: half of the report interval."""
    waiting_kept_ms: _Milliseconds = 1500
    """Time after a demand report with waiting requests in which changes of
    items are urgent for its sender: three reports."""
    poll_grace_ms: _Milliseconds = 500
    """Time beyond poll_hold_ms after which a poll fails: two crossings of
    the slowest link and one retransmission of a lost packet."""
    return_ms: _Milliseconds = 5000
    """Time after which a VM that left its preferred source tries it
    again."""
    retry_ms: _Milliseconds = 50
    """Delay before another source is polled."""
    detached_limit_ms: _Milliseconds = 1500
    """Age of a source's own state above which another source is preferred;
    well within the time in which routes must be active."""
    settle_ms: _Milliseconds = 2500
    """Time after the start during which routes are accepted only from an
    up-to-date source."""
    follower_kept_s: Annotated[float, Meta(gt=0)] = 5.0
    """Time without a poll after which a follower is no longer counted."""
    list_interval_ms: _Milliseconds = 300
    """Time between two reads of the platform's list."""
    list_timeout_ms: _Milliseconds = 1000
    absent_reads: _Count = 2
    """Complete reads in a row that lack a target after which it counts as
    removed."""
    report_interval_ms: _Milliseconds = 500
    """Time between two reports of one engine."""
    report_timeout_ms: _Milliseconds = 500
    demand_interval_ms: _Milliseconds = 500
    """Time between two demand reports of an entry VM."""
    demand_urgent_ms: _Milliseconds = 20
    """Time between two demand reports while requests wait for an item that
    no engine holds."""
    holder_wait_ms: _Milliseconds = 3200
    """Time from an election until the VM sends orders, if another VM sent
    them before: the platform's lease time, in which orders may not come
    from two VMs, and a margin for the slowest link and for timers."""
    order_timeout_ms: _Milliseconds = 400
    """Time without an answer after which an order is sent again."""
    adapter_load_ms: _Milliseconds = 25
    """Time from an accepted order until an adapter is expected to be
    ready."""
    drop_notice_ms: _Milliseconds = 60
    """Time between publishing that a model leaves service and its unload,
    in which the entry VMs stop sending requests: one crossing of the
    slowest link to the control VMs, one of a request in transit, and a
    margin."""
    place_by_speed: bool = False
    """Whether models whose work is heavy are placed on engines whose steps
    take less time."""
    store_burst_s: Annotated[float, Meta(gt=0)] = 5.0
    """Window over which loads from the weight store are counted."""
