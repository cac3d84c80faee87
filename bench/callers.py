"""Callers of a replay: they send requests and check every answer."""

import asyncio
import enum
import json
import random
import time
from typing import Any

import httpx
import msgspec

from bench.deployment import LOOPBACK
from bench.deployment import Deployment
from bench.trace import Call
from bench.trace import Request
from dotterelbridge.ids import VmId
from standins.service import compute_expected_response
from standins.tokens import CHARACTERS_PER_TOKEN
from standins.tokens import generate_expected_tokens

BALANCER_INTERVAL_S = 0.5
BALANCER_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 60.0
RESENDS_LIMIT = 4
RESEND_WAIT_S = 1.0
PREFIX_SHARE = 0.6


class Outcome(enum.Enum):
    """What a caller got."""

    WHOLE = "whole"
    REFUSED = "refused as not run"
    FAILED = "failed"
    LOST = "no answer"
    BROKEN = "broken stream"
    WRONG = "another's content"
    HUNG_UP = "hung up"


class Reply(msgspec.Struct, kw_only=True):
    """One request and what came of it."""

    request: Request
    marker: str
    vm: VmId | None = None
    outcome: Outcome = Outcome.LOST
    status: int = 0
    detail: str = ""
    sends: int = 0
    started_at: float = 0.0
    first_token_s: float | None = None
    gaps_s: list[float] = []
    entry_killed: bool = False
    """Whether the entry VM was killed during the exchange."""

    @property
    def met(self) -> bool:
        """Whether the whole answer came, its first token in time."""
        if self.outcome is not Outcome.WHOLE or self.first_token_s is None:
            return False
        return self.first_token_s * 1000 <= self.request.deadline_ms


class Balancer:
    """Chooses a ready VM, of the caller's failure domain if it can."""

    def __init__(self, deployment: Deployment, source: random.Random) -> None:
        self._deployment = deployment
        self._random = source
        self._ready = set(deployment.vms)

    def choose(self, domain: str) -> VmId | None:
        """Return a VM, or None when none is ready."""
        ready = sorted(self._ready)
        near = [
            vm
            for vm in ready
            if self._deployment.vms[vm].failure_domain == domain
        ]
        choices = near or ready
        return self._random.choice(choices) if choices else None

    async def run(self) -> None:
        """Ask every VM whether it is ready, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for vm in self._deployment.vms:
                tasks.create_task(self._watch(vm))

    async def _watch(self, vm: VmId) -> None:
        port = self._deployment.caller_ports[vm]
        url = f"http://{LOOPBACK}:{port}/readyz"
        async with httpx.AsyncClient(timeout=BALANCER_TIMEOUT_S) as client:
            while True:
                try:
                    ready = (await client.get(url)).is_success
                except httpx.TransportError:
                    ready = False
                (self._ready.add if ready else self._ready.discard)(vm)
                await asyncio.sleep(BALANCER_INTERVAL_S)


class Callers:
    """Sends requests through the balancer."""

    def __init__(self, deployment: Deployment, balancer: Balancer) -> None:
        self._balancer = balancer
        limits = httpx.Limits(max_connections=None)
        self._clients = {
            vm: httpx.AsyncClient(
                base_url=f"http://{LOOPBACK}:{port}",
                timeout=READ_TIMEOUT_S,
                limits=limits,
            )
            for vm, port in deployment.caller_ports.items()
        }
        self._replies: dict[int, Reply] = {}

    async def call(self, request: Request, marker: str) -> Reply:
        """Make one call and return what came of it."""
        reply = Reply(request=request, marker=marker)
        reply.started_at = time.monotonic()
        self._replies[id(reply)] = reply
        try:
            if request.call is Call.CHAT:
                await self._send(reply, self._chat)
            else:
                await self._call_service(reply)
        finally:
            del self._replies[id(reply)]
        return reply

    def mark_killed(self, vm: VmId) -> None:
        """Note on the open exchanges of a VM that it was killed."""
        for reply in self._replies.values():
            reply.entry_killed |= reply.vm == vm

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.aclose()

    async def _call_service(self, reply: Reply) -> None:
        while True:
            await self._send(reply, self._post)
            open_ended = reply.outcome in (Outcome.LOST, Outcome.FAILED)
            again = open_ended and reply.request.idempotency_key
            if not again or reply.sends > RESENDS_LIMIT:
                return
            await asyncio.sleep(RESEND_WAIT_S)

    async def _send(self, reply: Reply, exchange) -> None:
        """Send once; only a refused connection is tried elsewhere."""
        for _ in self._clients:
            reply.vm = self._balancer.choose(reply.request.failure_domain)
            if reply.vm is None:
                reply.detail = "no VM is ready"
                break
            try:
                await exchange(self._clients[reply.vm], reply)
            except httpx.ConnectError:
                await asyncio.sleep(BALANCER_INTERVAL_S)
                continue
            except httpx.HTTPError as error:
                started = reply.status == httpx.codes.OK
                reply.outcome = Outcome.BROKEN if started else Outcome.LOST
                reply.detail = repr(error)
            break
        reply.sends += 1

    async def _chat(self, client: httpx.AsyncClient, reply: Reply) -> None:
        body = create_chat(reply.request, reply.marker)
        headers = create_headers(reply.request)
        url = "/v1/chat/completions"
        async with client.stream(
            "POST", url, json=body, headers=headers
        ) as answer:
            reply.status = answer.status_code
            if not answer.is_success:
                await answer.aread()
                note_failure(reply, answer)
                return
            await self._read_stream(
                answer, reply, generate_expected_tokens(body)
            )

    async def _read_stream(
        self, answer: httpx.Response, reply: Reply, expected: list[str]
    ) -> None:
        last = reply.started_at
        received = []
        hang_up_s = reply.request.hang_up_after_ms / 1000
        async for line in answer.aiter_lines():
            if hang_up_s and time.monotonic() - reply.started_at > hang_up_s:
                reply.outcome = Outcome.HUNG_UP
                return
            if not line.startswith("data: "):
                continue
            if line == "data: [DONE]":
                break
            now = time.monotonic()
            if reply.first_token_s is None:
                reply.first_token_s = now - last
            else:
                reply.gaps_s.append(now - last)
            last = now
            received.append(read_token(line))
        reply.outcome = judge_tokens(received, expected)
        if reply.outcome is not Outcome.WHOLE:
            reply.detail = f"{len(received)} of {len(expected)} tokens"

    async def _post(self, client: httpx.AsyncClient, reply: Reply) -> None:
        body = json.dumps({"marker": reply.marker}).encode()
        path = f"/services/{reply.request.service}/book"
        headers = create_headers(reply.request)
        answer = await client.post(path, content=body, headers=headers)
        reply.status = answer.status_code
        if not answer.is_success:
            note_failure(reply, answer)
            return
        reply.first_token_s = time.monotonic() - reply.started_at
        expected = compute_expected_response(path, body)
        fits = expected.items() <= answer.json().items()
        reply.outcome = Outcome.WHOLE if fits else Outcome.WRONG


def create_chat(request: Request, marker: str) -> dict[str, Any]:
    """Return the body of a chat; its prompt is unique after the prefix."""
    size = request.prompt_tokens * CHARACTERS_PER_TOKEN
    shared = int(size * PREFIX_SHARE)
    opening = (f"{request.prefix} " * size)[:shared]
    rest = (f"{marker} " * size)[: size - shared]
    return {
        "model": request.model,
        "messages": [{"role": "user", "content": f"{opening}{rest}{marker}"}],
        "stream": True,
        "max_tokens": request.output_tokens,
        "user": marker,
    }


def create_headers(request: Request) -> dict[str, str]:
    """Return the headers that the trace's request asks for."""
    headers = {
        "Dotterelbridge-Priority": request.priority.value,
        "Dotterelbridge-Deadline": str(request.deadline_ms),
    }
    if request.idempotency_key:
        headers["Idempotency-Key"] = request.idempotency_key
    return headers


def read_token(line: str) -> str:
    """Return the token of one event line; empty for an error event."""
    event = json.loads(line.removeprefix("data: "))
    if "choices" not in event:
        return ""
    return event["choices"][0]["delta"].get("content", "")


def judge_tokens(received: list[str], expected: list[str]) -> Outcome:
    """Compare a stream, token for token, with what it has to be."""
    if received == expected:
        return Outcome.WHOLE
    own = all(token in expected for token in received if token)
    in_order = received == expected[: len(received)]
    errors = any(not token for token in received)
    if own and (in_order or errors):
        return Outcome.BROKEN
    return Outcome.WRONG


def note_failure(reply: Reply, answer: httpx.Response) -> None:
    """Note a refusal or failure with its words."""
    not_run = answer.headers.get("dotterelbridge-run") == "no"
    reply.outcome = Outcome.REFUSED if not_run else Outcome.FAILED
    reply.detail = f"{answer.status_code} {answer.text[:200]}"
