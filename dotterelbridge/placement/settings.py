"""Settings of the placement part."""

from datetime import timedelta
import enum
from typing import Annotated

import msgspec

from dotterelbridge.settings_schema import Section

Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=600_000)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=86_400)]
Weight = Annotated[float, msgspec.Meta(ge=0)]


class PolicyName(enum.Enum):
    """Placement policies that ship with dotterelbridge."""

    DEMAND = "demand"
    STATIC = "static"
    LRU = "lru"


class PlacementSettings(Section, frozen=True, kw_only=True):
    """Options of the section ``placement``."""

    policy: PolicyName = PolicyName.DEMAND
    lease_ms: Milliseconds = 4000
    """Length of a lease; the same on all VMs of a failure domain."""
    renew_ms: Milliseconds = 1000
    drift_percent: Annotated[float, msgspec.Meta(ge=0, lt=50)] = 2.0
    """Largest difference between the clock rates of two VMs."""
    drift_ms: Milliseconds = 200
    """Fixed part of the margin between a lease's end at its holder and
    at the VMs that granted it."""
    lease_timeout_ms: Milliseconds = 800
    order_late_limit_s: Seconds = 300.0
    """Longest time after sending during which an order may take effect."""
    order_timeout_ms: Milliseconds = 2000
    order_resend_s: Seconds = 3.0
    inventory_interval_ms: Milliseconds = 5000
    """Time between inventories of a target without open orders."""
    busy_inventory_interval_ms: Milliseconds = 500
    """Time between inventories of a target with open orders."""
    inventory_timeout_ms: Milliseconds = 1500
    inventory_max_age_s: Seconds = 15.0
    """A target whose last inventory is older gets no loads."""
    plan_interval_ms: Milliseconds = 1000
    replan_interval_ms: Milliseconds = 5000
    """Time between plans while only demand changes."""
    demand_interval_ms: Milliseconds = 2000
    demand_half_life_s: Seconds = 30.0
    drain_notice_s: Seconds = 3.0
    """Time allowed for all VMs to learn that a copy is draining."""
    minimum_residence_s: Seconds = 120.0
    """Minimum time before a loaded copy may be evicted for another item."""
    attainment_weight: Weight = 1.0
    move_weight: Weight = 1.0
    copy_load_share: Annotated[float, msgspec.Meta(gt=0)] = 0.5
    """An item may get another copy when the demand per copy exceeds this
    share of the mean demand per accelerator."""
    copy_rate_per_s: Weight = 0.2
    """Minimum demand per copy for an item to get another copy."""
    kv_room_percent: Annotated[float, msgspec.Meta(ge=0, lt=100)] = 10.0
    """Minimum share of an accelerator's memory reserved for KV cache."""
    loads_per_s: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    """Model loads per second from the weight store, all domains."""
    concurrent_loads: Annotated[int, msgspec.Meta(ge=1)] = 7
    """Concurrent model loads at full speed, all domains."""
    adapters_in_transit: Annotated[int, msgspec.Meta(ge=1)] = 16
    """Concurrent adapter loads at full speed, all domains."""
    backoff_first_s: Seconds = 1.0
    backoff_limit_s: Seconds = 60.0

    @property
    def lease(self) -> timedelta:
        return timedelta(milliseconds=self.lease_ms)

    @property
    def lease_timeout(self) -> timedelta:
        return timedelta(milliseconds=self.lease_timeout_ms)

    @property
    def drift_margin_s(self) -> float:
        drift_s = self.lease_ms / 1000 * self.drift_percent / 100
        return drift_s + self.drift_ms / 1000

    @property
    def order_timeout(self) -> timedelta:
        return timedelta(milliseconds=self.order_timeout_ms)

    @property
    def inventory_timeout(self) -> timedelta:
        return timedelta(milliseconds=self.inventory_timeout_ms)
