"""A daemon that is stopped and started again forgets that its server leaves.

The server of one machine deregisters and is acknowledged; it goes on serving for some seconds, as
servers do.  Then the daemon beside it gets SIGTERM, ends and is started again, and a liveness
report that the server had sent before it left arrives late.
"""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import harness2 as h

#: Requests that each client sends at once.
BESIDE = 5
#: Seconds for which a server serves after the acknowledgement of its leaving.
SERVES_ON_S = 16.0


async def case(mesh: h.Mesh) -> int:
    await mesh.open(["a"] * 4, [h.path_of("read", "safe", "a")])
    leaving = mesh.machines[0]
    server = leaving.server
    others = mesh.machines[1:]
    for machine in mesh.machines:
        answer = await machine.request("/read/1")
        if answer.status != 200:
            raise h.CannotRun("the mesh does not serve")

    # Planned work: the server leaves.  Its last liveness report is on its way for a while.
    server.stop_reporting()
    late_report = server.report()
    status = await server.tell("deregister", b"")
    if status != 200:
        raise h.CannotRun(f"the leaving was answered with {status}")
    acknowledged = h.now()
    mesh.record.note(f"server {server.id}: leaving acknowledged by {leaving.name}")

    if h.HAS_TROUBLE:
        await asyncio.sleep(0.3)
        leaving.signal(signal.SIGTERM)
        await leaving.wait_end(mesh.bounds["grace-s"])
        leaving.start()
        await mesh.until(lambda: leaving.is_ready, 10)
    else:
        await asyncio.sleep(3.5)
    await asyncio.sleep(0.5)
    status = await server.tell("heartbeat", late_report)
    mesh.record.note(
        f"server {server.id}: report sent before {acknowledged:.3f} arrives, answered {status}"
    )

    # Machines are in touch again `stable-window-ms` after the start.
    from_s = max(leaving.in_touch_since(), acknowledged + mesh.bounds["drain-ms"] / 1000) + 0.1
    await asyncio.sleep(max(0.0, from_s - h.now()))
    ends = min(acknowledged + SERVES_ON_S, from_s + 4.0)
    sent = served = 0
    while h.now() < ends:
        answers = await asyncio.gather(
            *(m.request("/read/1") for m in others for _ in range(BESIDE))
        )
        sent += len(answers)
        served += sum(answer.status == 200 for answer in answers)
        await asyncio.sleep(0.05)
    broken = [run for run in server.runs if run.at >= from_s]
    mesh.record.say(
        f"{sent} requests from {from_s:.3f} on, {served} served; {len(broken)} reached the server"
        f" that left at {acknowledged:.3f}"
        + (f", the first at {broken[0].at:.3f}, the last at {broken[-1].at:.3f}" if broken else "")
    )
    if served < sent * 0.9:
        raise h.CannotRun("the other servers do not serve")
    return h.BROKEN if broken else h.HELD


h.run(case, __file__, ["north-a", "north-b"])
