"""Stand-in for a model engine: docs/design/engine-protocol.md.

It accepts every order that an engine without memory checks would accept
and counts what exceeds its memory, so that it can judge the sender.
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
from standins.accelerator import Memory
from standins.accelerator import item_key
from standins.batch import PRIORITY_RANKS
from standins.batch import Batch
from standins.batch import Stream
from standins.prefix_cache import PrefixCache
from standins.server import Exchange
from standins.server import StandIn
from standins.server import serve
from standins.tokens import TOKENS_PER_BLOCK
from standins.tokens import count_prompt_tokens
from standins.tokens import generate_expected_tokens
from standins.tokens import hash_prompt_blocks
from standins.weights import TransferPool

PREFILL_TOKENS_PER_S = 8000.0
BLOCK_MB = 8
KV_BLOCK_BYTES = 4096
LOAD_REPORT_LAG_S = 1.0
SETTLED_ORDERS_KEPT = 1000
UNLOAD_SHARE = 0.1
"""Part of the load time that an unload takes."""
ADAPTER_SHARE = 0.1
"""Part of a model's load time that an adapter takes."""
LOADS_AT_FULL_SPEED = 2
STATUS_CODES = {
    OrderStatus.STALE_FENCING: 409,
    OrderStatus.NO_MEMORY: 507,
    OrderStatus.REFUSED: 400,
}


class EngineStandIn(StandIn):
    """A model engine that generates predictable tokens."""

    def __init__(self, options: argparse.Namespace) -> None:
        super().__init__(options.truth_file)
        self._options = options
        self._random = random.Random(options.seed)
        self._incarnation = uuid.uuid4().hex
        self._role = EngineRole.MIXED
        self._fencing_number = 0
        self._orders: dict[OrderId, OrderAnswer] = {}
        self._settled: deque[OrderId] = deque(maxlen=SETTLED_ORDERS_KEPT)
        self._tasks: set[asyncio.Task] = set()
        self._counts: Counter[str] = Counter()
        self._runs: Counter[str] = Counter()
        self._attempts: Counter[str] = Counter()
        self._by_request: dict[str, Stream] = {}
        self._leaving_since: float | None = None
        self._latest_offer_s = 0.0
        self._last_exchange: tuple[str, dict] | None = None
        self._pool = TransferPool(LOADS_AT_FULL_SPEED)
        self.batch = Batch(options.slots, options.token_ms / 1000)
        self.memory = Memory(options.memory_mb, options.kv_reserved_mb)
        blocks = max(1, options.kv_reserved_mb // BLOCK_MB)
        self._cache = PrefixCache(blocks, self._random)
        self._load_reports = deque([self._read_load()] * 2, maxlen=2)
        for item in parse_items(options.items):
            self.memory.put(item, LoadState.READY)

    async def run(self) -> None:
        """Generate tokens and refresh the load report until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.batch.run())
            while True:
                self._load_reports.append(self._read_load())
                await asyncio.sleep(LOAD_REPORT_LAG_S)

    def change_faults(self, changes: dict[str, Any]) -> None:
        """Apply the fields named in ``changes``."""
        super().change_faults(changes)
        self.batch.slow_factor = self.faults.slow_factor
        if not self.faults.leaving:
            self._leaving_since = None
        elif self._leaving_since is None:
            self._leaving_since = time.monotonic()

    def describe_truth(self) -> dict[str, Any]:
        """Return what the engine did and the memory that it held."""
        return {
            "target": self._options.target,
            "incarnation": self._incarnation,
            "over_commits": self.memory.over_commits,
            "peak_mb": self.memory.peak_mb,
            "memory_mb": self.memory.memory_mb,
            "moves": self._counts["load"] + self._counts["unload"],
            "latest_offer_after_leaving_s": self._latest_offer_s,
            "counts": dict(self._counts),
            "runs": dict(self._runs),
            "attempts": dict(self._attempts),
        }

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call of the engine protocol."""
        path = exchange.path
        if path in ("/v1/chat/completions", "/v1/completions"):
            await self._infer(exchange)
        elif path == "/v1/models":
            await exchange.answer(self._list_models())
        elif path == "/inventory":
            await exchange.answer(self._read_inventory())
        elif path == "/load":
            report = self._load_reports[0]
            leaving = self.faults.leaving
            await exchange.answer(
                msgspec.structs.replace(report, leaving=leaving)
            )
        elif path == "/orders":
            await self._take_order(exchange)
        elif path == "/cache-events":
            after = int(exchange.query.partition("after=")[2] or 0)
            await exchange.answer(self._cache.read_events(after))
        elif path == "/cancel":
            self._cancel(exchange.json()["request_id"])
            await exchange.answer(None, 204)
        elif path.startswith("/kv/"):
            await self._move_kv(exchange, path.removeprefix("/kv/"))
        else:
            await exchange.answer(error("not_found"), 404)

    # Inference

    async def _infer(self, exchange: Exchange) -> None:
        if self.take_reset("before_headers"):
            exchange.connection.abort()
            return
        body = exchange.json()
        request_id = exchange.headers.get("x-request-id", "")
        headers = {"X-Request-Id": request_id}
        refusal = self._find_refusal(body)
        if refusal:
            status = 404 if refusal == "model_not_ready" else 503
            await exchange.answer(error(refusal), status, headers)
            return
        stream = self._start_stream(exchange, body)
        try:
            if self.faults.crossed:
                request_id, body = self._cross(request_id, body)
                headers = {"X-Request-Id": request_id}
                stream.tokens = self._leave_out(exchange, body)
            answer = self._stream if body.get("stream") else self._complete
            await answer(exchange, stream, body, headers)
        finally:
            ended = "finished" if stream.finished else "cut_or_cancelled"
            self._counts[ended] += 1
            self._by_request.pop(request_id, None)
            self.batch.remove(stream)

    def _find_refusal(self, body: dict) -> str | None:
        if self._leaving_since is not None:
            after = time.monotonic() - self._leaving_since
            self._latest_offer_s = max(self._latest_offer_s, after)
            self.record(offer_after_leaving_s=after)
            return "leaving"
        if self.memory.find_ready(body.get("model", "")) is None:
            return "model_not_ready"
        if self.faults.refuse or self.batch.full:
            return "overloaded"
        return None

    def _start_stream(self, exchange: Exchange, body: dict) -> Stream:
        request_id = exchange.headers.get("x-request-id", "")
        marker = str(body.get("user", ""))
        self._runs[marker] += 1
        self._attempts[request_id] += 1
        self.record(run=marker, attempt=request_id)
        item = self.memory.find_ready(body["model"])
        priority = exchange.headers.get("x-priority", "normal")
        tokens = self._leave_out(exchange, body)
        stream = Stream(item, PRIORITY_RANKS.get(priority, 1), tokens)
        hits = self._cache.use(
            item.partition("@")[0], list(hash_prompt_blocks(body))
        )
        fresh = max(0, count_prompt_tokens(body) - hits * TOKENS_PER_BLOCK)
        stream.prefill_s = fresh / PREFILL_TOKENS_PER_S
        self._by_request[request_id] = stream
        self.batch.add(stream)
        return stream

    def _leave_out(self, exchange: Exchange, body: dict) -> list[str]:
        offset = int(exchange.headers.get("x-resume-offset", "0"))
        return generate_expected_tokens(body)[offset:]

    def _cross(self, request_id: str, body: dict) -> tuple[str, dict]:
        previous = self._last_exchange or ("crossed", {**body, "prompt": "x"})
        self._last_exchange = (request_id, body)
        other = {**previous[1], "stream": body.get("stream", False)}
        return previous[0], other

    async def _stream(
        self, exchange: Exchange, stream: Stream, body: dict, headers: dict
    ) -> None:
        if self.take_reset("during_headers"):
            exchange.connection.writer.write(b"HTTP/1.1 200 OK\r\nContent-")
            await exchange.connection.writer.drain()
            exchange.connection.abort()
            return
        await exchange.start(200, "text/event-stream", headers)
        head, tail = event_frame(exchange.path, body)
        sent = 0
        while sent < len(stream.tokens):
            await stream.progress.wait()
            stream.progress.clear()
            if stream.broken or (sent and self.take_reset("mid_stream")):
                exchange.connection.abort()
                return
            fresh = stream.tokens[sent : stream.generated]
            sent += len(fresh)
            for token in fresh:
                await exchange.send(head + token.encode() + tail)
        await exchange.send(b"data: [DONE]\n\n", more=False)

    async def _complete(
        self, exchange: Exchange, stream: Stream, body: dict, headers: dict
    ) -> None:
        while not stream.finished:
            await stream.progress.wait()
            stream.progress.clear()
        if stream.broken or self.take_reset("during_headers"):
            exchange.connection.abort()
            return
        text = "".join(stream.tokens)
        await exchange.answer(
            completion(exchange.path, body, text), headers=headers
        )

    def _cancel(self, request_id: str) -> None:
        stream = self._by_request.get(request_id)
        if stream:
            self._counts["cancelled"] += 1
            stream.broken = True
            stream.progress.set()

    # Orders

    async def _take_order(self, exchange: Exchange) -> None:
        order = msgspec.json.decode(exchange.body, type=EngineOrder)
        if self.faults.lose_orders > 0:
            self.faults.lose_orders -= 1
            exchange.connection.abort()
            return
        if self.faults.duplicate_order_ms:
            self._apply_later(order, self.faults.duplicate_order_ms)
        if self.faults.delay_order_ms:
            self._apply_later(order, self.faults.delay_order_ms)
            exchange.connection.abort()
            return
        answer = self._apply(order)
        status = STATUS_CODES.get(answer.status, 200)
        await exchange.answer(answer, status)

    def _apply_later(self, order: EngineOrder, delay_ms: int) -> None:
        async def apply() -> None:
            await asyncio.sleep(delay_ms / 1000)
            self._apply(order)

        self._start_task(apply())

    def _start_task(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _apply(self, order: EngineOrder) -> OrderAnswer:
        if order.order_id in self._orders:
            self._counts["duplicate_order"] += 1
            return self._answer(OrderStatus.DUPLICATE)
        stale = order.fencing_number < self._fencing_number
        self._fencing_number = max(self._fencing_number, order.fencing_number)
        if stale:
            self._counts["stale_order"] += 1
            if self._options.fencing == "enforced":
                return self._answer(OrderStatus.STALE_FENCING)
        reason = self._find_order_fault(order)
        if reason:
            self._settled.append(order.order_id)
            return self._answer(OrderStatus.REFUSED, reason)
        self._orders[order.order_id] = self._answer(OrderStatus.ACCEPTED)
        self._counts[order.action.value] += 1
        self.record(order=order.order_id, action=order.action.value)
        self._begin(order)
        return self._orders[order.order_id]

    def _answer(self, status: OrderStatus, reason: str = "") -> OrderAnswer:
        number = FencingNumber(self._fencing_number)
        return OrderAnswer(status=status, fencing_number=number, reason=reason)

    def _find_order_fault(self, order: EngineOrder) -> str:
        if self.faults.refuse:
            return "the engine takes no orders now"
        if order.action is OrderAction.CHANGE_ROLE:
            return "" if order.role else "the order names no role"
        item = order.item
        if item is None:
            return "the order names no item"
        bases = {e.item.name for e in self.memory.items.values()}
        wants_base = (
            order.action is OrderAction.LOAD and item.kind is ItemKind.ADAPTER
        )
        if wants_base and item.base and item.base not in bases:
            return f"base model {item.base} is not loaded"
        return ""

    def _begin(self, order: EngineOrder) -> None:
        if order.action is OrderAction.CHANGE_ROLE:
            self._role = order.role
            self._settled.append(order.order_id)
            return
        key = item_key(order.item)
        present = self.memory.items.get(key)
        if order.action is OrderAction.LOAD and present is None:
            if not self.memory.put(order.item, LoadState.LOADING):
                self.record(over_commit=key, used_mb=self.memory.used_mb())
            self._start_task(self._load(order))
        elif order.action is OrderAction.UNLOAD and present is not None:
            self.memory.put(present.item, LoadState.UNLOADING)
            cut = self.batch.break_streams(key)
            self._counts["streams_cut_by_unload"] += cut
            if cut:
                self.record(streams_cut_by_unload=cut, item=key)
            self._start_task(self._unload(order))
        else:
            self._settled.append(order.order_id)

    async def _load(self, order: EngineOrder) -> None:
        item = order.item
        load_ms = self._options.load_ms * self.faults.slow_factor
        if item.kind is ItemKind.ADAPTER:
            load_ms *= ADAPTER_SHARE
        await self._transfer(item.kind, load_ms)
        current = self.memory.items.get(item_key(item))
        if current and current.state is LoadState.LOADING:
            self.memory.put(item, LoadState.READY)
        self._settled.append(order.order_id)

    async def _transfer(self, kind: ItemKind, load_ms: float) -> None:
        if not self._options.weights:
            await self._pool.transfer(load_ms / 1000)
            return
        url = f"{self._options.weights}/weights"
        query = {"kind": kind.value, "ms": load_ms}
        async with httpx.AsyncClient(timeout=None) as client:
            while (await client.get(url, params=query)).status_code != 204:
                await asyncio.sleep(LOAD_REPORT_LAG_S)

    async def _unload(self, order: EngineOrder) -> None:
        await asyncio.sleep(self._options.load_ms * UNLOAD_SHARE / 1000)
        self.memory.remove(item_key(order.item))
        self._cache.clear(order.item.name)
        self._settled.append(order.order_id)

    # Reports

    def _read_inventory(self) -> Inventory:
        return Inventory(
            target=TargetId(self._options.target),
            incarnation=self._incarnation,
            memory_mb=self.memory.memory_mb,
            kv_reserved_mb=self.memory.kv_reserved_mb,
            role=self._role,
            fencing_number=FencingNumber(self._fencing_number),
            items=[
                msgspec.structs.replace(
                    entry, running=self.batch.count_running(key)
                )
                for key, entry in self.memory.items.items()
            ],
            running=len(self.batch.running),
            waiting=self.batch.waiting,
            leaving=self.faults.leaving,
            sequence=self.memory.sequence,
            settled_orders=list(self._settled),
        )

    def _read_load(self) -> EngineLoad:
        return EngineLoad(
            running=len(self.batch.running),
            waiting=self.batch.waiting,
            kv_used_fraction=len(self.batch.running) / self.batch.slots,
            tokens_per_second=self.batch.tokens_per_second,
        )

    def _list_models(self) -> dict[str, Any]:
        ready = [
            {"id": key, "object": "model"}
            for key, entry in self.memory.items.items()
            if entry.state is LoadState.READY
        ]
        return {"object": "list", "data": ready}

    async def _move_kv(self, exchange: Exchange, block: str) -> None:
        if exchange.method == "PUT":
            self._cache.store("imported", block)
            await exchange.answer(None, 204)
        elif block in self._cache:
            await exchange.start(200, "application/octet-stream", {})
            await exchange.send(block.encode() * KV_BLOCK_BYTES, more=False)
        else:
            await exchange.answer(error("evicted"), 404)


def error(kind: str) -> dict[str, Any]:
    """Return an error body as the protocol has it."""
    return {"error": {"type": kind, "message": kind.replace("_", " ")}}


def event_frame(path: str, body: dict) -> tuple[bytes, bytes]:
    """Return what goes before and after a token in its event."""
    if "chat" in path:
        kind = "chat.completion.chunk"
        opening, closing = '"delta":{"content":"', '"}}]}\n\n'
    else:
        kind = "text_completion"
        opening, closing = '"text":"', '"}]}\n\n'
    head = f'data: {{"object":"{kind}","model":"{body["model"]}",'
    head += f'"choices":[{{"index":0,{opening}'
    return head.encode(), closing.encode()


def completion(path: str, body: dict, text: str) -> dict[str, Any]:
    """Return the body of an answer that is not streamed."""
    chat = "chat" in path
    message = {"role": "assistant", "content": text}
    choice = {"message": message} if chat else {"text": text}
    return {
        "object": "chat.completion" if chat else "text_completion",
        "model": body["model"],
        "choices": [{"index": 0, "finish_reason": "stop", **choice}],
    }


def parse_items(text: str) -> list[EngineItem]:
    """Read ``NAME@VERSION:KIND:MB[:BASE]``, separated by commas."""
    items = []
    for part in filter(None, text.split(",")):
        full_name, kind, memory_mb, *base = part.split(":")
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
    """Return the options of the command line."""
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
    """Serve the engine until SIGTERM."""
    await serve(EngineStandIn(options), options.port)


if __name__ == "__main__":
    asyncio.run(main(parse_arguments()))
