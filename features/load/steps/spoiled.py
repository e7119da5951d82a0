"""A small HTTP system that serves the load generator and spoils one answer in five."""

import asyncio
import itertools
import json
from collections import Counter
from dataclasses import dataclass, field

from aiohttp import web

from lycheepost.loadgen.audit import Evidence

WORDS = tuple(f"w{index} " for index in range(12))


def answer_words(number: int) -> list[str]:
    return [f"r{number} ", *WORDS]


def number_of(body: dict) -> int:
    return int(body["messages"][-1]["content"].split()[1])


@dataclass
class SpoiledSystem:
    spoil: str
    addresses: list[str] = field(default_factory=list)
    runs: Counter = field(default_factory=Counter)
    ran_prompts: set = field(default_factory=set)
    answers: dict = field(default_factory=dict)
    previous: int = 0
    numbers: itertools.count = field(default_factory=itertools.count)

    def is_spoiled(self) -> bool:
        return next(self.numbers) % 5 == 2

    async def evidence(self) -> Evidence:
        return Evidence(self.runs, frozenset(self.ran_prompts))

    async def list_addresses(self, request):
        return web.json_response(
            {"addresses": self.addresses, "valid_for_seconds": 1.0}
        )

    def refuse(self, request, headers):
        headers = {"X-Request-Id": request.headers["X-Request-Id"], **headers}
        body = {"error": {"message": "m", "type": "t", "code": "queue_full"}}
        return web.json_response(body, status=503, headers=headers)

    async def complete(self, request):
        body = await request.json()
        spoil = self.spoil if self.is_spoiled() else ""
        if spoil == "refuse as not run":
            return self.refuse(request, {"Lycheepost-Executed": "no"})
        if spoil == "refuse without a mark":
            return self.refuse(request, {})
        self.ran_prompts.add(number_of(body))
        if spoil == "run, say not run":
            return self.refuse(request, {"Lycheepost-Executed": "no"})
        number = number_of(body)
        words = spoil_words(answer_words(number), spoil, self.previous)
        self.previous = number
        echoed = request.headers["X-Request-Id"]
        if spoil == "another's request id":
            echoed += "0"
        headers = {"X-Request-Id": echoed}
        if not body.get("stream"):
            choice = {"message": {"content": "".join(words)}, "finish_reason": "stop"}
            if spoil == "end without a marker":
                choice["finish_reason"] = None
                return web.json_response({"choices": []}, headers=headers)
            if spoil == "break the connection":
                request.transport.abort()
            return web.json_response({"choices": [choice]}, headers=headers)
        return await self.stream(request, words, headers, spoil)

    async def stream(self, request, words, headers, spoil):
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        for word in words[: 5 if spoil == "break the connection" else None]:
            chunk = {"choices": [{"delta": {"content": word}}]}
            await response.write(f"data: {json.dumps(chunk)}\n\n".encode())
        if spoil == "break the connection":
            await asyncio.sleep(0.01)
            request.transport.abort()
            return response
        if spoil != "end without a marker":
            last = {"choices": [{"delta": {}, "finish_reason": "stop"}]}
            await response.write(f"data: {json.dumps(last)}\n\n".encode())
            is_inside = spoil == "end inside the marker"
            await response.write(b"data: [DONE]" + (b"" if is_inside else b"\n\n"))
        return response

    async def order(self, request):
        order = (await request.json())["order_id"]
        spoil = self.spoil if self.is_spoiled() else ""
        headers = {"X-Request-Id": request.headers["X-Request-Id"]}
        if order in self.answers:
            body = self.answers[order]
            if self.spoil == "answer a resend anew":
                body += f" again {next(self.numbers)}".encode()
            return web.Response(body=body, headers=headers)
        if spoil != "acknowledge, not run":
            self.runs[order] += 2 if spoil == "run an order twice" else 1
        self.answers[order] = f"ticket for {order}".encode()
        return web.Response(body=self.answers[order], headers=headers)

    def make_app(self):
        app = web.Application()
        app.router.add_get("/v1/addresses", self.list_addresses)
        app.router.add_post("/v1/chat/completions", self.complete)
        app.router.add_post("/services/kiosk-orders/orders", self.order)
        return app


def spoil_words(words, spoil, previous):
    match spoil:
        case "lose a word":
            return words[:3] + words[4:]
        case "repeat a word":
            return words[:3] + words[2:]
        case "swap two words":
            return [*words[:3], words[4], words[3], *words[5:]]
        case "another's answer":
            return answer_words(previous)
        case "stop with a reason":
            return words[:6]
    return words
