"""Collects the log events that the subpackages define."""

from collections.abc import Iterator
import importlib
import logging
import pkgutil

import dotterelbridge
from dotterelbridge.events import CoreEvent
from dotterelbridge.events import Event

MARKDOWN_HEAD = """# Events

Every log line carries `event` (its name) and `event_number`. This page is
written by `make docs` from the code; a test compares the two.

| number | name | level | meaning and what to do |
|---|---|---|---|
"""


def list_events() -> list[Event]:
    """Return all events of the program, sorted by number."""
    events = [
        event for event_enum in _find_event_enums() for event in event_enum
    ]
    return sorted(events, key=lambda event: event.number)


def render_markdown() -> str:
    """Return the text of docs/EVENTS.md."""
    lines = (
        f"| {event.number} | `{event.name.lower()}` "
        f"| {logging.getLevelName(event.level).lower()} "
        f"| {event.meaning} |\n"
        for event in list_events()
    )
    return MARKDOWN_HEAD + "".join(lines)


def _find_event_enums() -> Iterator[type[Event]]:
    yield CoreEvent
    for module in pkgutil.walk_packages(
        dotterelbridge.__path__, "dotterelbridge."
    ):
        if not module.name.endswith(".events"):
            continue
        if module.name == "dotterelbridge.events":
            continue
        contents = vars(importlib.import_module(module.name)).values()
        for value in contents:
            if _is_event_enum(value):
                yield value


def _is_event_enum(value: object) -> bool:
    if not isinstance(value, type) or not issubclass(value, Event):
        return False
    return value not in (Event, CoreEvent)
