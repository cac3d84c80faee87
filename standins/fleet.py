"""Stand-ins for the platform's list and its model replicas.

They speak the protocol that ``platform/`` translates: the list of
instances, reports, orders, and streams of events.
"""

import json
from typing import Any

from dotterelbridge.clock import Clock
from dotterelbridge.nodes.probes import AuxiliaryListener
from dotterelbridge.serving.request import read_body
from dotterelbridge.serving.response import SINK_EXTENSION
from dotterelbridge.serving.settings import ServingSettings

REPORT_PATH = "/dotterelbridge/report"
ORDER_PATH = "/dotterelbridge/order"
LIST_PATH = "/instances"
_BODY_LIMIT = 1_000_000
_NOT_RUN = (b"x-dotterelbridge-not-executed", b"1")
_STAMP = b"x-dotterelbridge-server-stamp"
_REQUEST_ID = b"x-dotterelbridge-request-id"


def answer(sink, status: int, body: bytes, headers=()) -> None:
    """Write a whole answer."""
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
    """A replica with a number of models and places for adapters."""

    def __init__(
        self, name: str, models: list[str], model_limit: int, events: int = 3
    ) -> None:
        self.name = name
        self.born = 1
        self.adapters: dict[str, set[str]] = {m: set() for m in models}
        self.orders = 0
        self.controllers: set[str] = set()
        self.served_items: list[str] = []
        self.over_committed = False
        self._model_places = model_limit
        self._events = events

    async def __call__(self, scope, receive, send) -> None:
        """Serve one ASGI scope."""
        sink = scope["extensions"][SINK_EXTENSION]
        if scope["path"] == REPORT_PATH:
            answer(sink, 200, json.dumps(self._report()).encode())
        elif scope["path"] == ORDER_PATH:
            body = await read_body(receive, _BODY_LIMIT)
            answer(sink, self._take_order(json.loads(body)), b"{}")
        else:
            self._serve(scope, sink)

    def describe_instance(self, address: str, zone: str, service: str) -> dict:
        """Return the replica's entry on the list."""
        return {
            "id": self.name,
            "service": service,
            "address": address,
            "zone": zone,
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

    def _report(self) -> dict[str, Any]:
        return {
            "models": self._list_models(),
            "busy": False,
            "seq": self.orders,
            "queued": 0,
            "active": 0,
            "kv_used": 0,
            "born": self.born,
        }

    def _take_order(self, order: dict[str, Any]) -> int:
        model, adapter = order["model"], order.get("adapter")
        self.controllers.add(order["holder"])
        if order["operation"] == "load":
            held = self.adapters.get(model)
            if held is not None and (not adapter or adapter in held):
                return 200
        if order["expected_rev"] != self.orders:
            return 409
        self.orders += 1
        if order["operation"] == "load" and adapter:
            self.adapters[model].add(adapter)
        elif order["operation"] == "load":
            self.adapters[model] = set()
        elif adapter:
            self.adapters[model].discard(adapter)
        else:
            del self.adapters[model]
        self.over_committed |= len(self.adapters) > self._model_places
        return 202

    def _serve(self, scope, sink) -> None:
        headers = dict(scope["headers"])
        echo = (_REQUEST_ID, headers[_REQUEST_ID])
        wanted = headers.get(b"x-dotterelbridge-model", b"").decode()
        model, _, adapter = wanted.partition("/")
        held = self.adapters.get(model)
        if held is None or (adapter and adapter not in held):
            answer(sink, 421, b"", [echo, _NOT_RUN])
            return
        self.served_items.append(wanted)
        sink.write(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [
                    echo,
                    (_STAMP, self.name.encode()),
                    (b"content-type", b"text/event-stream"),
                ],
            }
        )
        for number in range(self._events):
            sink.write(
                {
                    "type": "http.response.body",
                    "body": b"id: %d\ndata: t\n\n" % number,
                    "more_body": True,
                }
            )
        sink.write(
            {"type": "http.response.body", "body": b"", "more_body": False}
        )


class StandinInstanceList:
    """The platform's list, in pages of one entry each."""

    def __init__(self) -> None:
        self.entries: list[Any] = []
        self.read_count = 0
        self.body_override: bytes | None = None
        """In place of a page, when the list is to be unreadable."""

    async def __call__(self, scope, receive, send) -> None:
        """Serve one ASGI scope."""
        sink = scope["extensions"][SINK_EXTENSION]
        query = scope["query_string"].decode()
        number = int(query.rpartition("=")[2]) if query else 0
        self.read_count += not number
        following = number + 1
        page = {
            "instances": self.entries[number:following],
            "next": str(following) if following < len(self.entries) else None,
        }
        body = (
            json.dumps(page).encode()
            if self.body_override is None
            else self.body_override
        )
        answer(sink, 200, body)


def create_listener(app, clock: Clock, port: int = 0) -> AuxiliaryListener:
    """Return a listener for a stand-in; its port is known at once."""
    return AuxiliaryListener(app, ServingSettings(port=port), clock)
