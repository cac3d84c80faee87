"""Remembers which software version began a stream that may be resumed."""

import abc
from collections.abc import Collection
from datetime import timedelta

import msgspec

from dotterelbridge.ids import ItemName
from dotterelbridge.ids import RequestId
from dotterelbridge.ids import SoftwareVersion


class StreamOrigin(msgspec.Struct, frozen=True):
    """What a stream has to go on at: what two versions write differs."""

    service: ItemName
    software: SoftwareVersion


class StreamRecorder(abc.ABC):
    """Records the origins of streams, and finds them again."""

    @abc.abstractmethod
    def record_begun(
        self,
        request_id: RequestId,
        origin: StreamOrigin,
        route: str,
        team: str,
        keep: timedelta,
    ) -> None:
        """Record a stream whose first event is being forwarded.

        Returns at once; other VMs learn of the stream some ms later.

        :param request_id: the id of the caller's request.
        :param keep: time for which a caller may ask to resume the stream.
        """

    @abc.abstractmethod
    async def find_origin(
        self,
        request_id: RequestId | None,
        service_names: Collection[ItemName],
        route: str,
        team: str,
        horizon: timedelta,
        timeout: timedelta,
    ) -> StreamOrigin | None:
        """Return what a stream has to go on at; None if it must not go on.

        That is the recorded origin. Without a record it is the only software
        version that has served the route's services over the horizon.

        :param request_id: the id of the request that got the first event,
            as the caller names it; None if it names none.
        :param service_names: the services of the route.
        :param horizon: time within which the stream can have begun, and a
            margin for what VMs learn late.
        :param timeout: time to wait for other VMs.
        """
