"""One liveness report of another writer, with a service that no configuration names."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s

#: The service in the report: another program's table of hosts, which its template has put where a
#: name should stand.
SERVICE = json.dumps({f"collector-{number}": f"127.77.0.{number}:9100" for number in range(8)})
CONSUMERS = 8
#: Breaks that the rule allows.
ALLOWED = 3


class Consumer:
    """A consumer with a connection that it keeps."""

    def __init__(self, machine: s.Machine, record: s.Record) -> None:
        self.machine = machine
        self.record = record
        self.attempt = ""
        self.answered = 0
        #: The request that was on the connection when it ended without an answer.
        self.cut = ""

    async def run(self, requests: int) -> None:
        reader, writer = await asyncio.open_connection(self.machine.ip, s.PORTS["outbound"])
        try:
            for _ in range(requests):
                self.attempt = s.new_attempt()
                self.record.note(f"sent {self.attempt} GET /safe/x")
                writer.write(
                    s.consumer_request("GET", "/safe/x", self.attempt, deadline_ms=3000)
                )
                answer = await s.read_message(reader, is_response=True)
                if answer is None:
                    self.cut = self.attempt
                    self.record.note(f"connection ended without an answer to {self.attempt}")
                    return
                self.answered += 1
                self.record.note(f"answered {self.attempt} {answer.status}")
                await asyncio.sleep(0.05)
        except (OSError, asyncio.IncompleteReadError):
            self.cut = self.attempt
            self.record.note(f"connection reset without an answer to {self.attempt}")
        finally:
            writer.close()


async def report(mesh: s.Mesh, record: s.Record) -> None:
    """The report of another writer, to the control address of the first machine."""
    machine = mesh.machines[0]
    values = json.loads(mesh.servers[0].report())
    values |= {"service": SERVICE, "address": f"{machine.ip}:9", "seq": 1}
    fields = {"Host": machine.ip, "Content-Type": "application/json", "Connection": "close"}
    data = s.request("POST", "/instances/i-0other00/heartbeat", fields, json.dumps(values).encode())
    answer = await s.ask(machine.ip, s.PORTS["control"], data)
    status = answer.status if answer is not None else "none"
    record.say(f"report with a service of {len(SERVICE)} characters: answer {status}")


async def body(mesh: s.Mesh, record: s.Record, has_trouble: bool) -> int:
    document = s.configuration(1, ["a", "b"], [s.path("safe", "safe", "a")])
    await mesh.open(["b", "a", "a"], document)
    for server in mesh.servers:
        server.work_s = 0.4
    consumers = [Consumer(mesh.machines[0], record) for _ in range(CONSUMERS)]
    async with asyncio.TaskGroup() as tasks:
        for consumer in consumers:
            tasks.create_task(consumer.run(12))
        await asyncio.sleep(3.2)
        if has_trouble:
            await report(mesh, record)
    await asyncio.sleep(1.0)
    status = mesh.machines[0].exit_status
    ran = {attempt for server in mesh.servers for attempt, _ in server.runs}
    cut = [c.cut for c in consumers if c.answered and c.cut in ran]
    if not sum(consumer.answered for consumer in consumers):
        raise s.CannotRun("nothing was served")
    ended = "runs" if status is None else f"ended by itself with status {status}"
    record.say(f"the daemon {ended}; passed on and closed without an answer: {len(cut)}")
    return s.BROKEN if len(cut) > ALLOWED else s.HELD


s.run_case(Path(__file__).resolve().parent, body)
