"""State dumps: each part describes itself on request."""

import abc
import json
from typing import Any


class Dumpable(abc.ABC):
    """A part of the daemon that can describe its state."""

    @abc.abstractmethod
    def dump(self) -> dict[str, Any]:
        """Return the state as values that JSON can hold; no secrets."""


class DumpRegistry:
    """The parts of one daemon, by name."""

    def __init__(self) -> None:
        self._parts: dict[str, Dumpable] = {}

    def add(self, name: str, part: Dumpable) -> None:
        """Register a part under the name operators use."""
        self._parts[name] = part

    def list_names(self) -> list[str]:
        """Return the registered names in alphabetical order."""
        return sorted(self._parts)

    def dump(self, name: str) -> dict[str, Any]:
        """Return one part's state; KeyError for an unknown name."""
        return self._parts[name].dump()

    def dump_all(self) -> dict[str, Any]:
        """Return the state of all parts."""
        return {name: self._parts[name].dump() for name in self.list_names()}

    def write(self, path: str) -> None:
        """Write the state of all parts to a file as JSON."""
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.dump_all(), file, indent=2, default=str)
