"""The teams whose callers use this daemon, from its settings."""

from collections.abc import Mapping

from dotterelbridge.ids import Priority
from dotterelbridge.ids import TeamName
from dotterelbridge.teams import instruments
from dotterelbridge.teams.authorization import KeyRefused
from dotterelbridge.teams.authorization import find_team
from dotterelbridge.teams.authorization import remove_keys
from dotterelbridge.teams.directory import TeamDirectory
from dotterelbridge.teams.model import Team
from dotterelbridge.teams.settings import TeamSection

TEAM_HEADER = b"dotterelbridge-team"

_Headers = list[tuple[bytes, bytes]]


class CallerTeams:
    """Authenticates callers; without teams, all are served."""

    def __init__(self, sections: Mapping[str, TeamSection]) -> None:
        by_digest = {}
        self._priorities: dict[TeamName, Priority | None] = {}
        for name, section in sections.items():
            team = Team(name=TeamName(name))
            self._priorities[team.name] = section.priority
            for digest in section.keys:
                by_digest[bytes.fromhex(digest)] = team
        self._directory = TeamDirectory(by_digest, has_teams=bool(sections))

    def authenticate(self, headers: _Headers) -> Team | None:
        """Return the team of a request; None without teams.

        :raises KeyRefused: it has no key of a team.
        """
        if not self._directory.has_teams:
            return None
        try:
            return find_team(self._directory, headers)
        except KeyRefused as error:
            instruments.refusals.add(
                1,
                {
                    "team": instruments.get_label(None),
                    "reason": error.reason.value,
                },
            )
            raise

    def get_priority(self, team: Team | None) -> Priority | None:
        """Return the priority of a team, if it has one."""
        return None if team is None else self._priorities[team.name]


def replace_key(headers: _Headers, team: Team | None) -> _Headers:
    """Return a request's headers with the team's name instead of its key."""
    if team is None:
        return headers
    return remove_keys(headers, (TEAM_HEADER,)) + create_team_headers(team)


def create_team_headers(team: Team | None) -> _Headers:
    """Return the headers that tell a target the team of a request."""
    if team is None:
        return []
    return [(TEAM_HEADER, team.name.encode("latin-1"))]
