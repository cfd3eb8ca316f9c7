"""Clients are kept waiting past their route's time by answers that have stopped half-way.

A server that is lost in the middle of an answer sends nothing more and closes nothing.  Answers
have the chunked framing, which a daemon passes on as they come; the first part of each is sent
when the server begins to work on it, the rest at its end.
"""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import harness2 as h

SERVERS, SLOTS = 7, 9
WORK_S = 0.4
TIMEOUT_MS = 1500
#: How long a client waits, and the longest time after the route's for its final answer.
DEADLINE_MS = 3000
LATE_S = 0.5
#: Requests in progress at any time, enough for all slots.
CLIENTS = 80
#: Size of an answer.
BODY = 1500
#: Seconds of traffic at which one server each falls silent, for how long, and all of it.
DARK_AT_S, DARK_S, LASTS_S = (3.0, 9.0), 5.0, 13.0


async def answer_in_chunks(
    server: h.Server, request: h.Request, writer: asyncio.StreamWriter
) -> bool:
    body = (f"{server.id} ran {request.id} ".encode() * BODY)[:BODY]
    half = BODY // 2
    writer.write(server.head_of(request, "Transfer-Encoding: chunked"))
    writer.write(f"{half:x}\r\n".encode() + body[:half] + b"\r\n")
    await writer.drain()
    await asyncio.sleep(WORK_S)
    if server.is_dark:
        await asyncio.sleep(60)  # it sends nothing, and its connections stay as they are
    writer.write(f"{BODY - half:x}\r\n".encode() + body[half:] + b"\r\n0\r\n\r\n")
    await writer.drain()
    return True


async def case(mesh: h.Mesh) -> int:
    await mesh.open(["a"] * SERVERS, [h.path_of("read", "safe", "a", **{"timeout-ms": TIMEOUT_MS})])
    servers = [machine.server for machine in mesh.machines]
    for server in servers:
        server.answering = answer_in_chunks
        server.slots = SLOTS
        server.told_state = "ready"
    await asyncio.sleep(1.5)  # the servers report their slots
    answers: list[h.Answer] = []
    began = h.now()

    async def client(number: int) -> None:
        machine = mesh.machines[number % SERVERS]
        await asyncio.sleep(WORK_S * random.random())
        while h.now() < began + LASTS_S:
            answer = await machine.request("/read/1", deadline_ms=DEADLINE_MS)
            answers.append(answer)
            await asyncio.sleep(0.02 if answer.status == 200 else 0.1)

    async def darken() -> None:
        for at, server in zip(DARK_AT_S, servers[1:], strict=False):
            await asyncio.sleep(max(0.0, began + at - h.now()))
            server.go_dark(for_s=DARK_S)

    working = [client(number) for number in range(CLIENTS)]
    await asyncio.gather(*working, *([darken()] if h.HAS_TROUBLE else []))
    beyond = [a for a in answers if a.ended_at - a.sent_at > TIMEOUT_MS / 1000]
    late = [a for a in beyond if a.ended_at - a.sent_at > TIMEOUT_MS / 1000 + LATE_S]
    longest = max(answer.ended_at - answer.sent_at for answer in answers)
    served = sum(answer.is_whole and answer.status == 200 for answer in answers)
    mesh.record.say(
        f"{len(answers)} requests, {served} served; {len(beyond)} lasted longer than"
        f" {TIMEOUT_MS} ms, and {len(late)} of these had no final answer {LATE_S:g} s after that;"
        f" the longest lasted {longest:.2f} s"
    )
    if served < 100:
        raise h.CannotRun("the mesh does not serve")
    return h.BROKEN if len(late) >= 8 and len(late) * 4 > len(beyond) else h.HELD


h.run(case, __file__, ["north-a", "north-b"])
