"""Traces: one JSON event a line, in time order (see bench/README.md)."""

from collections.abc import Iterator
import configparser
import enum
import pathlib

import msgspec

from dotterelbridge.ids import Business
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import Priority


class TraceError(Exception):
    """A trace or outcome file cannot be used; names file and line."""


class Call(enum.Enum):
    """Kind of a request."""

    CHAT = "chat"
    SERVICE = "service"


class FaultKind(enum.Enum):
    """What a fault event does to its subject."""

    KILL = "kill"
    STOP = "stop"
    CONTINUE = "continue"
    RESTART = "restart"
    SILENCE = "silence"
    SLOW = "slow"
    PARTITION = "partition"
    HEAL = "heal"
    LEAVE = "leave"
    CROSSED = "crossed"
    LOSE_ORDER = "lose_order"
    DELAY_ORDER = "delay_order"


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """Base of the events."""

    at_ms: int


class Request(Event, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """One call of a caller."""

    business: Business
    failure_domain: FailureDomain
    call: Call
    model: str = ""
    service: str = ""
    priority: Priority = Priority.NORMAL
    deadline_ms: int
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix: str = ""
    """Text that the prompts of a group of requests begin with."""
    idempotency_key: str = ""
    hang_up_after_ms: int = 0


class Fault(Event, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """One fault; ``value`` is its factor, count or time in ms."""

    fault: FaultKind
    subject: str = ""
    value: float = 0


class SheetChange(
    Event, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """A submission of a sheet."""

    sheet: str
    number: int


_TYPES = {"call": Request, "fault": Fault, "sheet": SheetChange}


def read_trace(path: pathlib.Path) -> list[Event]:
    """Read a whole trace.

    :raises TraceError: names the first bad line.
    """
    events = []
    for number, line in enumerate(path.read_bytes().splitlines(), 1):
        try:
            event = parse_event(line)
            if events and event.at_ms < events[-1].at_ms:
                raise TraceError("at_ms is before the line above")
        except (msgspec.MsgspecError, TraceError) as error:
            raise TraceError(f"{path}:{number}: {error}") from None
        events.append(event)
    return events


def parse_event(line: bytes) -> Event:
    """Read one line; raises TraceError or msgspec's errors."""
    fields = msgspec.json.decode(line, type=dict)
    kinds = [kind for kind in _TYPES if kind in fields]
    if len(kinds) != 1:
        raise TraceError("needs exactly one of call, fault and sheet")
    event = msgspec.convert(fields, _TYPES[kinds[0]])
    is_chat = isinstance(event, Request) and event.call is Call.CHAT
    if is_chat and not (event.model and event.output_tokens > 0):
        raise TraceError("a chat needs model and output_tokens")
    if isinstance(event, Request) and not is_chat and not event.service:
        raise TraceError("a service call needs service")
    return event


def write_trace(path: pathlib.Path, events: list[Event]) -> None:
    """Write events in time order."""
    ordered = sorted(events, key=lambda event: event.at_ms)
    path.write_bytes(b"".join(_encode_lines(ordered)))


def _encode_lines(events: list[Event]) -> Iterator[bytes]:
    for event in events:
        fields = msgspec.to_builtins(event)
        filled = {name: value for name, value in fields.items() if value != ""}
        yield msgspec.json.encode(filled) + b"\n"


class Bound(msgspec.Struct, frozen=True, kw_only=True):
    """One stated outcome."""

    figure: str
    at_least: float | None = None
    at_most: float | None = None

    def holds(self, value: float | None) -> bool:
        """Return whether a measured value meets the bound."""
        if value is None:
            return False
        if self.at_least is not None:
            return value >= self.at_least
        return value <= self.at_most


def read_outcomes(path: pathlib.Path) -> list[Bound]:
    """Read the sections at_least and at_most of an outcome file."""
    parser = configparser.ConfigParser()
    if not parser.read(path):
        raise TraceError(f"{path}: the outcome file is missing")
    return [
        Bound(figure=figure, **{section: float(value)})
        for section in ("at_least", "at_most")
        if parser.has_section(section)
        for figure, value in parser[section].items()
    ]
