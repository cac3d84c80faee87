"""Settings of the membership component."""

from datetime import timedelta
from typing import Annotated

import msgspec

from dotterelbridge.settings_schema import Section

Milliseconds = Annotated[int, msgspec.Meta(ge=10, le=600_000)]


class MembershipSettings(Section, frozen=True, kw_only=True):
    """Options of the section ``membership``."""

    heartbeat_interval_ms: Milliseconds = 1000
    suspect_after_ms: Milliseconds = 2500
    lost_after_ms: Milliseconds = 8000
    poll_interval_ms: Milliseconds = 1000
    poll_timeout_ms: Milliseconds = 900
    digest_interval_ms: Milliseconds = 1000
    """Interval of the hash exchange with each other failure domain."""
    sync_delay_ms: Milliseconds = 300
    """Delay before a differing table is compared, so that updates in transit
    can arrive."""
    sync_timeout_ms: Milliseconds = 1000
    platform_interval_ms: Milliseconds = 3000

    @property
    def heartbeat_interval(self) -> timedelta:
        return timedelta(milliseconds=self.heartbeat_interval_ms)

    @property
    def poll_interval(self) -> timedelta:
        return timedelta(milliseconds=self.poll_interval_ms)

    @property
    def poll_timeout(self) -> timedelta:
        return timedelta(milliseconds=self.poll_timeout_ms)

    @property
    def digest_interval(self) -> timedelta:
        return timedelta(milliseconds=self.digest_interval_ms)

    @property
    def sync_delay(self) -> timedelta:
        return timedelta(milliseconds=self.sync_delay_ms)

    @property
    def sync_timeout(self) -> timedelta:
        return timedelta(milliseconds=self.sync_timeout_ms)

    @property
    def platform_interval(self) -> timedelta:
        return timedelta(milliseconds=self.platform_interval_ms)

    @property
    def suspect_after_s(self) -> float:
        return self.suspect_after_ms / 1000

    @property
    def lost_after_s(self) -> float:
        return self.lost_after_ms / 1000
