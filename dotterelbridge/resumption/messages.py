"""Messages about the streams that began, and what has served them."""

from typing import Annotated

import msgspec

from dotterelbridge.ids import ItemName
from dotterelbridge.ids import SoftwareVersion
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.messages import register_message
from dotterelbridge.resumption.keys import KEY_BYTES
from dotterelbridge.resumption.recorder import StreamOrigin

_Key = Annotated[
    bytes, msgspec.Meta(min_length=KEY_BYTES, max_length=KEY_BYTES)
]


class BegunStream(msgspec.Struct, frozen=True, array_like=True):
    """A stream whose first event was forwarded."""

    key: _Key
    service: ItemName
    software: SoftwareVersion
    keep_ms: int


@register_message("streams.begun")
class StreamsBegun(Message, frozen=True, kw_only=True, array_like=True):
    """Tells a control VM of streams; not answered."""

    streams: tuple[BegunStream, ...]


class StreamQuery(msgspec.Struct, frozen=True, array_like=True):
    """Asks for the origin of one stream."""

    key: _Key | None
    """None if the caller names no stream."""
    route: str
    services: tuple[ItemName, ...]
    """The services of the route, sorted."""
    horizon_ms: int
    """Time within which the stream can have begun."""


class ServiceHistory(msgspec.Struct, frozen=True, array_like=True):
    """What one VM has seen serve a service over a horizon."""

    service: ItemName
    versions: tuple[SoftwareVersion, ...] = ()
    """Versions of the service's targets, sorted; two stand for more."""
    is_complete: bool = False
    """Whether the VM has watched without a gap over the whole horizon."""
    is_confirmed: bool = False
    """Whether the VM read the list for all others as it answered, so that no
    VM can know of a version that it has not seen."""


class StreamAnswer(msgspec.Struct, frozen=True, array_like=True):
    """What one or several VMs know of a stream."""

    service: ItemName | None = None
    software: SoftwareVersion | None = None
    """Of the record; None if there is none."""
    is_conflicting: bool = False
    """Whether there are records that name different origins."""
    histories: tuple[ServiceHistory, ...] = ()

    @property
    def origin(self) -> StreamOrigin | None:
        """The recorded origin."""
        if self.service is None or self.software is None:
            return None
        return StreamOrigin(self.service, self.software)

    @property
    def is_decisive(self) -> bool:
        """Whether there is a record that needs nothing else.

        A record of an unknown version needs the histories.
        """
        return self.is_conflicting or bool(self.software)


@register_message("streams.lookup")
class StreamLookup(Message, frozen=True, kw_only=True, array_like=True):
    """Asks a control VM for the origins of streams."""

    queries: tuple[StreamQuery, ...]
    relay_ms: int = 0
    """Time for which the receiver waits for the other control VMs about
    streams that it has no record of; 0 if it must not ask them."""


@register_message("streams.found")
class StreamsFound(Message, frozen=True, kw_only=True, array_like=True):
    """Answers a StreamLookup, in the order of its queries."""

    answers: tuple[StreamAnswer, ...]
