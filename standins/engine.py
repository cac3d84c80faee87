"""Stand-in for a model engine: docs/design/engine-protocol.md.

It accepts every order that an engine without memory checks would accept, and
counts the loads that exceed its memory, so that tests can check the sender.
"""

import argparse
import asyncio
from collections import Counter
from collections import deque
import random
import time
from typing import Any
import uuid

import httpx
import msgspec

from dotterelbridge.ids import FencingNumber
from dotterelbridge.ids import ItemKind
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import OrderId
from dotterelbridge.ids import TargetId
from dotterelbridge.targets.engine import EngineItem
from dotterelbridge.targets.engine import EngineLoad
from dotterelbridge.targets.engine import EngineOrder
from dotterelbridge.targets.engine import EngineRole
from dotterelbridge.targets.engine import Inventory
from dotterelbridge.targets.engine import LoadState
from dotterelbridge.targets.engine import OrderAction
from dotterelbridge.targets.engine import OrderAnswer
from dotterelbridge.targets.engine import OrderStatus
from standins.accelerator import AcceleratorMemory
from standins.accelerator import get_item_key
from standins.batch import PRIORITY_RANKS
from standins.batch import BatchScheduler
from standins.batch import Stream
from standins.prefix_cache import PrefixCache
from standins.server import Exchange
from standins.server import StandIn
from standins.server import serve_standin
from standins.tokens import TOKENS_PER_BLOCK
from standins.tokens import count_prompt_tokens
from standins.tokens import generate_expected_tokens
from standins.tokens import hash_prompt_blocks
from standins.weights import TransferPool

PREFILL_TOKENS_PER_S = 8000.0
CACHE_BLOCK_MB = 8
KV_BLOCK_BYTES = 4096
LOAD_REPORT_INTERVAL_S = 1.0
"""Interval of load reports. GET /load returns the report before the latest,
so it lags by this time. Also the pause before another try at the weight
store."""
SETTLED_ORDERS_LIMIT = 1000
UNLOAD_TIME_SHARE = 0.1
"""Duration of an unload, as a share of the load time."""
ADAPTER_LOAD_TIME_SHARE = 0.1
"""Load time of an adapter, as a share of a model's."""
FULL_SPEED_LOAD_COUNT = 2
HTTP_STATUS_CODES = {
    OrderStatus.STALE_FENCING: 409,
    OrderStatus.NO_MEMORY: 507,
    OrderStatus.REFUSED: 400,
}


class EngineStandIn(StandIn):
    """A model engine that generates deterministic tokens."""

    def __init__(self, options: argparse.Namespace) -> None:
        super().__init__(options.truth_file)
        self._options = options
        self._random = random.Random(options.seed)
        self._incarnation = uuid.uuid4().hex
        self._role = EngineRole.MIXED
        self._fencing_number = 0
        self._orders: dict[OrderId, OrderAnswer] = {}
        self._settled: deque[OrderId] = deque(maxlen=SETTLED_ORDERS_LIMIT)
        self._tasks: set[asyncio.Task] = set()
        self._counts: Counter[str] = Counter()
        self._runs_by_marker: Counter[str] = Counter()
        self._attempts_by_request_id: Counter[str] = Counter()
        self._streams_by_request_id: dict[str, Stream] = {}
        self._leaving_since: float | None = None
        self._latest_leaving_request_s = 0.0
        self._previous_request: tuple[str, dict] | None = None
        self._load_pool = TransferPool(FULL_SPEED_LOAD_COUNT)
        self.scheduler = BatchScheduler(options.slots, options.token_ms / 1000)
        self.memory = AcceleratorMemory(
            options.memory_mb, options.kv_reserved_mb
        )
        block_limit = max(1, options.kv_reserved_mb // CACHE_BLOCK_MB)
        self._prefix_cache = PrefixCache(block_limit, self._random)
        self._load_reports = deque([self._create_load_report()] * 2, maxlen=2)
        for item in parse_items(options.items):
            self.memory.set_item(item, LoadState.READY)

    async def run_background(self) -> None:
        """Generate tokens and refresh the load report until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.scheduler.run())
            while True:
                self._load_reports.append(self._create_load_report())
                await asyncio.sleep(LOAD_REPORT_INTERVAL_S)

    def change_faults(self, changes: dict[str, Any]) -> None:
        """Apply the fields named in ``changes``."""
        super().change_faults(changes)
        self.scheduler.slow_factor = self.faults.slow_factor
        if not self.faults.leaving:
            self._leaving_since = None
        elif self._leaving_since is None:
            self._leaving_since = time.monotonic()

    def describe_activity(self) -> dict[str, Any]:
        """Return run and order counts and the memory used."""
        return {
            "target": self._options.target,
            "incarnation": self._incarnation,
            "over_commits": self.memory.over_commit_count,
            "peak_mb": self.memory.peak_mb,
            "memory_mb": self.memory.memory_mb,
            "moves": self._counts["load"] + self._counts["unload"],
            "latest_offer_after_leaving_s": self._latest_leaving_request_s,
            "counts": dict(self._counts),
            "runs": dict(self._runs_by_marker),
            "attempts": dict(self._attempts_by_request_id),
        }

    async def handle_request(self, exchange: Exchange) -> None:
        """Handle one request of the engine protocol."""
        path = exchange.path
        if path in ("/v1/chat/completions", "/v1/completions"):
            await self._handle_inference(exchange)
        elif path == "/v1/models":
            await exchange.send_json(self._list_models())
        elif path == "/inventory":
            await exchange.send_json(self._create_inventory())
        elif path == "/load":
            report = self._load_reports[0]
            leaving = self.faults.leaving
            await exchange.send_json(
                msgspec.structs.replace(report, leaving=leaving)
            )
        elif path == "/orders":
            await self._handle_order(exchange)
        elif path == "/cache-events":
            after = int(exchange.query.partition("after=")[2] or 0)
            await exchange.send_json(self._prefix_cache.read_events(after))
        elif path == "/cancel":
            self._cancel_stream(exchange.parse_json()["request_id"])
            await exchange.send_json(None, 204)
        elif path.startswith("/kv/"):
            await self._transfer_kv_block(exchange, path.removeprefix("/kv/"))
        else:
            await exchange.send_json(create_error_body("not_found"), 404)

    # Inference

    async def _handle_inference(self, exchange: Exchange) -> None:
        if self.consume_reset("before_headers"):
            exchange.connection.abort()
            return
        body = exchange.parse_json()
        request_id = exchange.headers.get("x-request-id", "")
        headers = {"X-Request-Id": request_id}
        rejection_reason = self._find_rejection_reason(body)
        if rejection_reason:
            status = 404 if rejection_reason == "model_not_ready" else 503
            await exchange.send_json(
                create_error_body(rejection_reason), status, headers
            )
            return
        stream = self._start_stream(exchange, body)
        try:
            if self.faults.crossed:
                request_id, body = self._swap_with_previous(request_id, body)
                headers = {"X-Request-Id": request_id}
                stream.tokens = self._list_remaining_tokens(exchange, body)
            respond = (
                self._send_stream
                if body.get("stream")
                else self._send_completion
            )
            await respond(exchange, stream, body, headers)
        finally:
            end_reason = (
                "finished" if stream.is_finished else "cut_or_cancelled"
            )
            self._counts[end_reason] += 1
            self._streams_by_request_id.pop(request_id, None)
            self.scheduler.remove(stream)

    def _find_rejection_reason(self, body: dict) -> str | None:
        if self._leaving_since is not None:
            elapsed_s = time.monotonic() - self._leaving_since
            self._latest_leaving_request_s = max(
                self._latest_leaving_request_s, elapsed_s
            )
            self.append_activity(offer_after_leaving_s=elapsed_s)
            return "leaving"
        if self.memory.find_ready_key(body.get("model", "")) is None:
            return "model_not_ready"
        if self.faults.refuse or self.scheduler.is_full:
            return "overloaded"
        return None

    def _start_stream(self, exchange: Exchange, body: dict) -> Stream:
        request_id = exchange.headers.get("x-request-id", "")
        marker = str(body.get("user", ""))
        self._runs_by_marker[marker] += 1
        self._attempts_by_request_id[request_id] += 1
        self.append_activity(run=marker, attempt=request_id)
        item = self.memory.find_ready_key(body["model"])
        priority = exchange.headers.get("x-priority", "normal")
        tokens = self._list_remaining_tokens(exchange, body)
        stream = Stream(item, PRIORITY_RANKS.get(priority, 1), tokens)
        hit_count = self._prefix_cache.store_prompt(
            item.partition("@")[0], list(hash_prompt_blocks(body))
        )
        uncached_tokens = max(
            0, count_prompt_tokens(body) - hit_count * TOKENS_PER_BLOCK
        )
        stream.prefill_s = uncached_tokens / PREFILL_TOKENS_PER_S
        self._streams_by_request_id[request_id] = stream
        self.scheduler.add(stream)
        return stream

    def _list_remaining_tokens(
        self, exchange: Exchange, body: dict
    ) -> list[str]:
        offset = int(exchange.headers.get("x-resume-offset", "0"))
        return generate_expected_tokens(body)[offset:]

    def _swap_with_previous(
        self, request_id: str, body: dict
    ) -> tuple[str, dict]:
        previous = self._previous_request or (
            "crossed",
            {**body, "prompt": "x"},
        )
        self._previous_request = (request_id, body)
        other_body = {**previous[1], "stream": body.get("stream", False)}
        return previous[0], other_body

    async def _send_stream(
        self, exchange: Exchange, stream: Stream, body: dict, headers: dict
    ) -> None:
        if self.consume_reset("during_headers"):
            exchange.connection.writer.write(b"HTTP/1.1 200 OK\r\nContent-")
            await exchange.connection.writer.drain()
            exchange.connection.abort()
            return
        await exchange.start_response(200, "text/event-stream", headers)
        head, tail = create_event_frame(exchange.path, body)
        sent = 0
        while sent < len(stream.tokens):
            await stream.has_progress.wait()
            stream.has_progress.clear()
            if stream.is_aborted or (
                sent and self.consume_reset("mid_stream")
            ):
                exchange.connection.abort()
                return
            new_tokens = stream.tokens[sent : stream.generated_count]
            sent += len(new_tokens)
            for token in new_tokens:
                await exchange.send_body(head + token.encode() + tail)
        await exchange.send_body(b"data: [DONE]\n\n", more=False)

    async def _send_completion(
        self, exchange: Exchange, stream: Stream, body: dict, headers: dict
    ) -> None:
        while not stream.is_finished:
            await stream.has_progress.wait()
            stream.has_progress.clear()
        if stream.is_aborted or self.consume_reset("during_headers"):
            exchange.connection.abort()
            return
        text = "".join(stream.tokens)
        await exchange.send_json(
            create_completion_body(exchange.path, body, text), headers=headers
        )

    def _cancel_stream(self, request_id: str) -> None:
        stream = self._streams_by_request_id.get(request_id)
        if stream:
            self._counts["cancelled"] += 1
            stream.is_aborted = True
            stream.has_progress.set()

    # Orders

    async def _handle_order(self, exchange: Exchange) -> None:
        order = msgspec.json.decode(exchange.body, type=EngineOrder)
        if self.faults.lose_orders > 0:
            self.faults.lose_orders -= 1
            exchange.connection.abort()
            return
        if self.faults.duplicate_order_ms:
            self._schedule_order(order, self.faults.duplicate_order_ms)
        if self.faults.delay_order_ms:
            self._schedule_order(order, self.faults.delay_order_ms)
            exchange.connection.abort()
            return
        answer = self._apply_order(order)
        status = HTTP_STATUS_CODES.get(answer.status, 200)
        await exchange.send_json(answer, status)

    def _schedule_order(self, order: EngineOrder, delay_ms: int) -> None:
        async def apply() -> None:
            await asyncio.sleep(delay_ms / 1000)
            self._apply_order(order)

        self._start_task(apply())

    def _start_task(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _apply_order(self, order: EngineOrder) -> OrderAnswer:
        if order.order_id in self._orders:
            self._counts["duplicate_order"] += 1
            return self._create_order_answer(OrderStatus.DUPLICATE)
        stale = order.fencing_number < self._fencing_number
        self._fencing_number = max(self._fencing_number, order.fencing_number)
        if stale:
            self._counts["stale_order"] += 1
            if self._options.fencing == "enforced":
                return self._create_order_answer(OrderStatus.STALE_FENCING)
        reason = self._find_invalid_order_reason(order)
        if reason:
            self._settled.append(order.order_id)
            return self._create_order_answer(OrderStatus.REFUSED, reason)
        self._orders[order.order_id] = self._create_order_answer(
            OrderStatus.ACCEPTED
        )
        self._counts[order.action.value] += 1
        self.append_activity(order=order.order_id, action=order.action.value)
        self._start_order(order)
        return self._orders[order.order_id]

    def _create_order_answer(
        self, status: OrderStatus, reason: str = ""
    ) -> OrderAnswer:
        number = FencingNumber(self._fencing_number)
        return OrderAnswer(status=status, fencing_number=number, reason=reason)

    def _find_invalid_order_reason(self, order: EngineOrder) -> str:
        if self.faults.refuse:
            return "the engine takes no orders now"
        if order.action is OrderAction.CHANGE_ROLE:
            return "" if order.role else "the order names no role"
        item = order.item
        if item is None:
            return "the order names no item"
        loaded_names = {e.item.name for e in self.memory.items.values()}
        requires_base = (
            order.action is OrderAction.LOAD and item.kind is ItemKind.ADAPTER
        )
        if requires_base and item.base and item.base not in loaded_names:
            return f"base model {item.base} is not loaded"
        return ""

    def _start_order(self, order: EngineOrder) -> None:
        if order.action is OrderAction.CHANGE_ROLE:
            self._role = order.role
            self._settled.append(order.order_id)
            return
        key = get_item_key(order.item)
        current = self.memory.items.get(key)
        if order.action is OrderAction.LOAD and current is None:
            if not self.memory.set_item(order.item, LoadState.LOADING):
                self.append_activity(
                    over_commit=key, used_mb=self.memory.compute_used_mb()
                )
            self._start_task(self._load_item(order))
        elif order.action is OrderAction.UNLOAD and current is not None:
            self.memory.set_item(current.item, LoadState.UNLOADING)
            aborted_count = self.scheduler.abort_streams(key)
            self._counts["streams_cut_by_unload"] += aborted_count
            if aborted_count:
                self.append_activity(
                    streams_cut_by_unload=aborted_count, item=key
                )
            self._start_task(self._unload_item(order))
        else:
            self._settled.append(order.order_id)

    async def _load_item(self, order: EngineOrder) -> None:
        item = order.item
        load_ms = self._options.load_ms * self.faults.slow_factor
        if item.kind is ItemKind.ADAPTER:
            load_ms *= ADAPTER_LOAD_TIME_SHARE
        await self._transfer_weights(item.kind, load_ms)
        current = self.memory.items.get(get_item_key(item))
        if current and current.state is LoadState.LOADING:
            self.memory.set_item(item, LoadState.READY)
        self._settled.append(order.order_id)

    async def _transfer_weights(self, kind: ItemKind, load_ms: float) -> None:
        if not self._options.weights:
            await self._load_pool.transfer(load_ms / 1000)
            return
        url = f"{self._options.weights}/weights"
        query = {"kind": kind.value, "ms": load_ms}
        async with httpx.AsyncClient(timeout=None) as client:
            while (await client.get(url, params=query)).status_code != 204:
                await asyncio.sleep(LOAD_REPORT_INTERVAL_S)

    async def _unload_item(self, order: EngineOrder) -> None:
        await asyncio.sleep(self._options.load_ms * UNLOAD_TIME_SHARE / 1000)
        self.memory.remove(get_item_key(order.item))
        self._prefix_cache.clear_model(order.item.name)
        self._settled.append(order.order_id)

    # Reports

    def _create_inventory(self) -> Inventory:
        return Inventory(
            target=TargetId(self._options.target),
            incarnation=self._incarnation,
            memory_mb=self.memory.memory_mb,
            kv_reserved_mb=self.memory.kv_reserved_mb,
            role=self._role,
            fencing_number=FencingNumber(self._fencing_number),
            items=[
                msgspec.structs.replace(
                    entry, running=self.scheduler.count_running(key)
                )
                for key, entry in self.memory.items.items()
            ],
            running=len(self.scheduler.running),
            waiting=self.scheduler.waiting_count,
            leaving=self.faults.leaving,
            sequence=self.memory.sequence,
            settled_orders=list(self._settled),
        )

    def _create_load_report(self) -> EngineLoad:
        return EngineLoad(
            running=len(self.scheduler.running),
            waiting=self.scheduler.waiting_count,
            kv_used_fraction=len(self.scheduler.running)
            / self.scheduler.slots,
            tokens_per_second=self.scheduler.tokens_per_second,
        )

    def _list_models(self) -> dict[str, Any]:
        ready = [
            {"id": key, "object": "model"}
            for key, entry in self.memory.items.items()
            if entry.state is LoadState.READY
        ]
        return {"object": "list", "data": ready}

    async def _transfer_kv_block(self, exchange: Exchange, block: str) -> None:
        if exchange.method == "PUT":
            self._prefix_cache.store_block("imported", block)
            await exchange.send_json(None, 204)
        elif block in self._prefix_cache:
            await exchange.start_response(200, "application/octet-stream", {})
            await exchange.send_body(
                block.encode() * KV_BLOCK_BYTES, more=False
            )
        else:
            await exchange.send_json(create_error_body("evicted"), 404)


def create_error_body(kind: str) -> dict[str, Any]:
    """Return an error body of the engine protocol."""
    return {"error": {"type": kind, "message": kind.replace("_", " ")}}


def create_event_frame(path: str, body: dict) -> tuple[bytes, bytes]:
    """Return the parts of an event before and after its token."""
    if "chat" in path:
        kind = "chat.completion.chunk"
        opening, closing = '"delta":{"content":"', '"}}]}\n\n'
    else:
        kind = "text_completion"
        opening, closing = '"text":"', '"}]}\n\n'
    head = f'data: {{"object":"{kind}","model":"{body["model"]}",'
    head += f'"choices":[{{"index":0,{opening}'
    return head.encode(), closing.encode()


def create_completion_body(path: str, body: dict, text: str) -> dict[str, Any]:
    """Return the body of a response that is not streamed."""
    chat = "chat" in path
    message = {"role": "assistant", "content": text}
    choice = {"message": message} if chat else {"text": text}
    return {
        "object": "chat.completion" if chat else "text_completion",
        "model": body["model"],
        "choices": [{"index": 0, "finish_reason": "stop", **choice}],
    }


def parse_items(text: str) -> list[EngineItem]:
    """Parse comma-separated ``NAME@VERSION:KIND:MB[:BASE]`` items."""
    items = []
    for spec in filter(None, text.split(",")):
        full_name, kind, memory_mb, *base = spec.split(":")
        name, _, version = full_name.partition("@")
        items.append(
            EngineItem(
                kind=ItemKind(kind),
                name=ItemName(name),
                version=version,
                base=ItemName(base[0]) if base else None,
                memory_mb=int(memory_mb),
            )
        )
    return items


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parse the command-line options."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--target", default="engine")
    parser.add_argument("--business", default="")
    parser.add_argument("--memory-mb", type=int, default=80_000)
    parser.add_argument("--kv-reserved-mb", type=int, default=16_000)
    parser.add_argument(
        "--fencing", choices=("enforced", "ignored"), default="enforced"
    )
    parser.add_argument("--token-ms", type=float, default=50.0)
    parser.add_argument("--load-ms", type=float, default=300.0)
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--items", default="")
    parser.add_argument("--weights", help="URL of the weight store")
    parser.add_argument("--truth-file")
    return parser.parse_args(arguments)


async def main(options: argparse.Namespace) -> None:
    """Serve until SIGTERM or SIGINT."""
    await serve_standin(EngineStandIn(options), options.port)


if __name__ == "__main__":
    asyncio.run(main(parse_arguments()))
