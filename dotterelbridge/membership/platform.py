"""The platform's list of live and leaving VMs and targets."""

import abc
from datetime import timedelta
import enum

import httpx
import msgspec

from dotterelbridge.errors import DocumentMalformed
from dotterelbridge.errors import DotterelbridgeError
from dotterelbridge.json_documents import decode_document


class PlatformState(enum.Enum):
    """State of an entry on the platform list."""

    LIVE = "live"
    LEAVING = "leaving"


class PlatformMember(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of the platform list, which lags by some seconds."""

    id: str
    kind: str
    failure_domain: str
    address: str
    state: PlatformState


class PlatformListError(DotterelbridgeError):
    """The platform list could not be read."""


class PlatformList(abc.ABC):
    """Source of the platform's list."""

    @abc.abstractmethod
    async def fetch(self, timeout: timedelta) -> list[PlatformMember]:
        """Return the list.

        :raises PlatformListError: it cannot be read.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections to the platform."""


class HttpPlatformList(PlatformList):
    """Fetches ``GET /members`` from the platform."""

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/") + "/members"
        self._client = httpx.AsyncClient()

    async def fetch(self, timeout: timedelta) -> list[PlatformMember]:
        try:
            response = await self._client.get(
                self._url, timeout=timeout.total_seconds()
            )
            response.raise_for_status()
            return decode_document(response.content, list[PlatformMember])
        except (httpx.HTTPError, DocumentMalformed) as error:
            raise PlatformListError(
                f"cannot read {self._url}: {error}",
                "check [platform] list_url and the platform's service",
            ) from error

    async def close(self) -> None:
        await self._client.aclose()


def create_platform_list(url: str | None) -> PlatformList | None:
    """Return a client for the list at ``url``, or None without a URL."""
    return HttpPlatformList(url) if url else None
