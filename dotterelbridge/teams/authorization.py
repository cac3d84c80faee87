"""Reads keys from the headers of requests, and removes them."""

from collections.abc import Collection
from collections.abc import Iterable
import enum

from dotterelbridge.errors import RequestRefused
from dotterelbridge.teams.directory import TeamDirectory
from dotterelbridge.teams.model import Team

_Headers = list[tuple[bytes, bytes]]

_AUTHORIZATION = b"authorization"
_SCHEME = b"bearer"
_SPELLINGS = bytes(
    ord(char) if char.isascii() and char.isalnum() else ord("-")
    for char in map(chr, range(256))
)
"""Maps the characters of a header's name. Servers that turn headers into
variables treat several of them alike, such as a hyphen and an underscore."""


class KeyFault(enum.Enum):
    """Why a request has no team, for metrics and logs."""

    MISSING = "key_missing"
    """It has no Authorization header with a key, or several."""
    UNKNOWN = "key_unknown"
    """No team has its key."""


class KeyRefused(RequestRefused):
    """The request needs the key of a team."""

    def __init__(self, reason: KeyFault) -> None:
        super().__init__(
            "the request has no valid key",
            "send it with Authorization: Bearer KEY",
        )
        self.reason = reason


def find_team(directory: TeamDirectory, headers: _Headers) -> Team:
    """Return the team whose key the headers carry.

    :raises KeyRefused: they carry none, several, or an unknown one.
    """
    key = _read_key(headers)
    if key is None:
        raise KeyRefused(KeyFault.MISSING)
    team = directory.find(key)
    if team is None:
        raise KeyRefused(KeyFault.UNKNOWN)
    return team


def remove_keys(
    headers: Iterable[tuple[bytes, bytes]], team_headers: Collection[bytes]
) -> _Headers:
    """Return the headers without keys and without names of teams.

    :param team_headers: names of the headers that name a team, in lower
        case; they are removed in each spelling.
    """
    return [
        (name, value)
        for name, value in headers
        if (spelling := name.lower().translate(_SPELLINGS)) != _AUTHORIZATION
        and spelling not in team_headers
    ]


def _read_key(headers: _Headers) -> str | None:
    """Return the key in the headers if there is exactly one."""
    values = [value for name, value in headers if name == _AUTHORIZATION]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip(b" \t").partition(b" ")
    if scheme.lower() != _SCHEME or not key:
        return None
    return key.strip(b" \t").decode("latin-1")
