"""Settings of teams and their keys."""

from typing import Annotated

from msgspec import Meta

from dotterelbridge.ids import Priority
from dotterelbridge.settings_schema import Section

_Milliseconds = Annotated[float, Meta(ge=0)]


class TeamsSettings(Section, frozen=True, kw_only=True):
    """Section ``[teams]``."""

    key_lifetime_ms: _Milliseconds = 0
    """Longest time for which an entry VM that has lost contact with the
    leader of the log serves requests with keys; 0: without limit. A key that
    was taken away is dead everywhere this long after the acknowledgement."""
    refusal_age_ms: _Milliseconds = 0
    """Age of what an entry VM knows of the keys above which it answers 503
    instead of 401, because a key may have been added since; 0: always 401."""


class TeamSection(Section, frozen=True, kw_only=True):
    """[team:NAME]: a team whose callers use the daemon's listener."""

    keys: tuple[str, ...] = ()
    """SHA-256 digests of the team's keys, each in 64 hexadecimal digits. With
    at least one such section, callers need a key."""
    priority: Priority | None = None
    """Replaces the priority of the request and of the sheet's row."""
