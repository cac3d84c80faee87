"""What the parts of the quota system may hand out for one team."""

import msgspec

from dotterelbridge.quotas.settings import QuotasSettings
from dotterelbridge.teams.model import Quota
from dotterelbridge.teams.model import QuotaUnit

CREDIT_LIFETIME_S = 0.5
"""Time for which credit for a waiting request can be used, counted from the
message that asked for it."""
AHEAD_LIFETIME_S = 1.5
"""The same for credit that was asked for ahead of requests."""
_BUCKET_PART = 0.5
"""Part of the tolerated excess that the leader's bucket may hold."""
_AHEAD_PART = 0.25
"""Part of the tolerated excess that may be out as credit ahead of requests:
it may be used in a window after the one in which it was issued."""
_NEW_LEADER_PART = 0.125
"""Part of the tolerated excess that a new leader may issue at once, as its
predecessor may have issued all it had just before."""
_INHERITED_PART = 0.35
"""Part of the tolerated excess that may be issued twice, by two leaders."""
_NEW_LEADER_SHARE = 0.25
"""Part of the bucket with which a new leader starts."""


class QuotaLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of one team, in its units."""

    units_per_s: float
    tolerated_units: float
    """Use in a window that is tolerated beyond the quota."""
    capacity: float
    """The most that the leader's bucket holds."""
    window_units: float
    """The most that the leader issues in a window, less what is given back."""
    ahead_units: float
    """The most credit that is out ahead of requests."""
    first_units: float
    """Content of the bucket of a new leader that knows nothing."""
    inherited_units: float
    """The most that a new leader takes over of its predecessor's bucket, as
    the predecessor may have issued it as well."""


def is_limited(quota: Quota | None) -> bool:
    """Return whether a quota limits its team."""
    return quota is not None and quota.units_per_s > 0


def count_units(quota: Quota, token_count: int | None) -> float:
    """Return what a request counts as.

    :param token_count: prompt tokens and output tokens together, or None if
        the caller did not state them.
    """
    if quota.unit is QuotaUnit.REQUESTS:
        return 1.0
    return quota.plain_units if token_count is None else float(token_count)


def derive_limits(quota: Quota, settings: QuotasSettings) -> QuotaLimits:
    """Return the limits for a quota.

    In any window, use is at most what the bucket held and gained, the credit
    that was out when the window began, and what a new leader starts with.
    """
    window_units = quota.units_per_s * settings.window_s
    tolerated = (
        window_units + quota.burst
    ) * settings.excess_fraction + settings.slack_units
    capacity = quota.burst + tolerated * _BUCKET_PART
    return QuotaLimits(
        units_per_s=quota.units_per_s,
        tolerated_units=tolerated,
        capacity=capacity,
        window_units=window_units + capacity,
        ahead_units=tolerated * _AHEAD_PART,
        inherited_units=tolerated * _INHERITED_PART,
        first_units=min(
            capacity * _NEW_LEADER_SHARE, tolerated * _NEW_LEADER_PART
        ),
    )
