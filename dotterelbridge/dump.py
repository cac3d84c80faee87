"""State dumps: the components of a daemon report their state."""

import abc
import json
from typing import Any


class Dumpable(abc.ABC):
    """A component of the daemon that reports its state."""

    @abc.abstractmethod
    def dump(self) -> dict[str, Any]:
        """Return the state as JSON-serializable values, without secrets."""


class DumpRegistry:
    """The dumpable components of one daemon, by name."""

    def __init__(self) -> None:
        self._components: dict[str, Dumpable] = {}

    def add(self, name: str, component: Dumpable) -> None:
        """Register a component under the name that operators use."""
        self._components[name] = component

    def list_names(self) -> list[str]:
        """Return the registered names in alphabetical order."""
        return sorted(self._components)

    def dump(self, name: str) -> dict[str, Any]:
        """Return the state of one component.

        :raises KeyError: no component has the name.
        """
        return self._components[name].dump()

    def dump_all(self) -> dict[str, Any]:
        """Return the state of all components."""
        return {
            name: self._components[name].dump() for name in self.list_names()
        }

    def write(self, path: str) -> None:
        """Write the state of all components to a file as JSON."""
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.dump_all(), file, indent=2, default=str)
