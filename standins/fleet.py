"""Stand-ins for the platform's instance list and its model replicas.

They implement the protocol that ``platform/`` translates: the list of
instances, reports, orders and event streams.
"""

import json
from typing import Any

from dotterelbridge.clock import Clock
from dotterelbridge.nodes.probes import AuxiliaryListener
from dotterelbridge.serving.errors import ResponseIncomplete
from dotterelbridge.serving.request import read_body
from dotterelbridge.serving.response import SINK_EXTENSION
from dotterelbridge.serving.settings import ServingSettings

REPORT_PATH = "/dotterelbridge/report"
ORDER_PATH = "/dotterelbridge/order"
LIST_PATH = "/instances"
_BODY_LIMIT_BYTES = 1_000_000
_NOT_EXECUTED_HEADER = (b"x-dotterelbridge-not-executed", b"1")
_LEAVING_HEADER = (b"server-leaving", b"1")
_RATE_LIMIT_HEADER = b"server-limit"
_SERVER_STAMP_HEADER = b"x-dotterelbridge-server-stamp"
_REQUEST_ID_HEADER = b"x-dotterelbridge-request-id"


def write_response(sink, status: int, body: bytes, headers=()) -> None:
    """Write a complete response."""
    sink.write(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*headers, (b"content-length", b"%d" % len(body))],
        }
    )
    sink.write(
        {"type": "http.response.body", "body": body, "more_body": False}
    )


class StandinReplica:
    """A replica with a limited number of models; adapters are unlimited."""

    def __init__(
        self,
        name: str,
        models: list[str],
        model_limit: int,
        event_count: int = 3,
        version: str = "v1",
    ) -> None:
        """Create a replica.

        :param version: the version of its software, which its events name.
        """
        self.name = name
        self.version = version
        self.born = 1
        self.adapters: dict[str, set[str]] = {m: set() for m in models}
        self.applied_order_count = 0
        self.controllers: set[str] = set()
        self.served_items: list[str] = []
        self.received_headers: list[list[tuple[bytes, bytes]]] = []
        """Headers of each request that was not an order or a report."""
        self.over_committed = False
        self.is_leaving = False
        """Whether its answers say that it leaves."""
        self.rate_limit_per_s: float | None = None
        """Requests a second that its answers ask for, if set."""
        self.break_before: int | None = None
        """Number of the event before which streams break off, if set."""
        self.retry_after_s: int | None = None
        """Refuses all requests and asks for none for this time, if set."""
        self._model_limit = model_limit
        self._event_count = event_count

    async def __call__(self, scope, receive, send) -> None:
        """Serve one ASGI scope."""
        sink = scope["extensions"][SINK_EXTENSION]
        if scope["path"] == REPORT_PATH:
            write_response(
                sink, 200, json.dumps(self._create_report()).encode()
            )
        elif scope["path"] == ORDER_PATH:
            body = await read_body(receive, _BODY_LIMIT_BYTES)
            write_response(sink, self._apply_order(json.loads(body)), b"{}")
        else:
            self._serve_request(scope, sink)

    def describe_instance(self, address: str, zone: str, service: str) -> dict:
        """Return the replica's entry on the instance list."""
        return {
            "id": self.name,
            "service": service,
            "address": address,
            "zone": zone,
            "version": self.version,
            "state": "ready",
            "slots": 8,
            "born": self.born,
            "models": self._list_models(),
        }

    def _list_models(self) -> list[dict[str, Any]]:
        return [
            {"name": model, "version": 1, "adapters": sorted(names)}
            for model, names in self.adapters.items()
        ]

    def _create_report(self) -> dict[str, Any]:
        return {
            "models": self._list_models(),
            "busy": False,
            "seq": self.applied_order_count,
            "queued": 0,
            "active": 0,
            "kv_used": 0,
            "born": self.born,
        }

    def _apply_order(self, order: dict[str, Any]) -> int:
        model, adapter = order["model"], order.get("adapter")
        self.controllers.add(order["holder"])
        if order["operation"] == "load":
            loaded_adapters = self.adapters.get(model)
            if loaded_adapters is not None and (
                not adapter or adapter in loaded_adapters
            ):
                return 200
        if order["expected_rev"] != self.applied_order_count:
            return 409
        self.applied_order_count += 1
        if order["operation"] == "load" and adapter:
            self.adapters[model].add(adapter)
        elif order["operation"] == "load":
            self.adapters[model] = set()
        elif adapter:
            self.adapters[model].discard(adapter)
        else:
            del self.adapters[model]
        self.over_committed |= len(self.adapters) > self._model_limit
        return 202

    def _serve_request(self, scope, sink) -> None:
        self.received_headers.append(list(scope["headers"]))
        headers = dict(scope["headers"])
        request_id_header = (_REQUEST_ID_HEADER, headers[_REQUEST_ID_HEADER])
        requested_item = headers.get(b"x-dotterelbridge-model", b"").decode()
        model, _, adapter = requested_item.partition("/")
        loaded_adapters = self.adapters.get(model)
        if loaded_adapters is None or (
            adapter and adapter not in loaded_adapters
        ):
            write_response(
                sink, 421, b"", [request_id_header, _NOT_EXECUTED_HEADER]
            )
            return
        if self.retry_after_s is not None:
            retry_after = (b"retry-after", b"%d" % self.retry_after_s)
            write_response(
                sink,
                503,
                b"",
                [request_id_header, _NOT_EXECUTED_HEADER, retry_after],
            )
            return
        self.served_items.append(requested_item)
        sink.write(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [
                    request_id_header,
                    (_SERVER_STAMP_HEADER, self.name.encode()),
                    (b"content-type", b"text/event-stream"),
                    *self._list_statements(),
                ],
            }
        )
        text = self.version.encode()
        last_event_id = int(headers.get(b"last-event-id", b"-1"))
        for number in range(last_event_id + 1, self._event_count):
            if number == self.break_before:
                raise ResponseIncomplete("the replica crashes", "try again")
            sink.write(
                {
                    "type": "http.response.body",
                    "body": b"id: %d\ndata: %b\n\n" % (number, text),
                    "more_body": True,
                }
            )
        sink.write(
            {"type": "http.response.body", "body": b"", "more_body": False}
        )

    def _list_statements(self) -> list[tuple[bytes, bytes]]:
        """Return the headers in which the replica speaks of itself."""
        headers = [_LEAVING_HEADER] if self.is_leaving else []
        if self.rate_limit_per_s is not None:
            headers.append((_RATE_LIMIT_HEADER, b"%g" % self.rate_limit_per_s))
        return headers


class StandinInstanceList:
    """The platform's instance list, with one entry per page."""

    def __init__(self) -> None:
        self.entries: list[Any] = []
        self.read_count = 0
        self.body_override: bytes | None = None
        """Sent instead of a page, to simulate an unreadable list."""

    async def __call__(self, scope, receive, send) -> None:
        """Serve one ASGI scope."""
        sink = scope["extensions"][SINK_EXTENSION]
        query = scope["query_string"].decode()
        index = int(query.rpartition("=")[2]) if query else 0
        self.read_count += not index
        next_index = index + 1
        page = {
            "instances": self.entries[index:next_index],
            "next": str(next_index)
            if next_index < len(self.entries)
            else None,
        }
        body = (
            json.dumps(page).encode()
            if self.body_override is None
            else self.body_override
        )
        write_response(sink, 200, body)


def create_listener(app, clock: Clock, port: int = 0) -> AuxiliaryListener:
    """Return a listener for a stand-in; its port is known before it starts."""
    return AuxiliaryListener(app, ServingSettings(port=port), clock)
