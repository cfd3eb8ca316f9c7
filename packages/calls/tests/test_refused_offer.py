"""A full target refuses a call before any resources are allocated for it.

When slots are scarce, a quarter or more of the offers between daemons are refused.
"""

from __future__ import annotations

import math
import unittest

import anyio
from call_harness import IP, Host, ScriptedTarget

from acaciayard_admission import HeldSlot
from acaciayard_handover._messages import CALL_CODEC, CallHead, Refused
from acaciayard_http1 import RequestHead
from acaciayard_wire import ByteStream, MessageStream, Purpose, Traffic, connect


async def fail_on_request(_head: RequestHead, _stream: ByteStream) -> None:
    raise AssertionError("the target received a refused call")


def call_head(**changes: object) -> CallHead:
    """Returns the head of a call that may start at once but must not wait for a slot."""
    defaults = {"fields": b"x-request: r1\r\n", "body": b"", "is_whole": True, "length": 0}
    options = {"priority": 1, "budget": 2.0, "start_within": 0.0, "is_idempotent": True}
    return CallHead("a", b"GET", b"/x", **{**defaults, **options, **changes})  # type: ignore[arg-type]


class RefusedOfferTest(unittest.TestCase):
    def test_refusal_sets_no_timer_and_keeps_the_stream_usable(self) -> None:
        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                host = Host("full", ScriptedTarget(fail_on_request))
                await host.open(tasks, slots=1)
                (target,) = host.targets.all
                held = target.gate.try_enter(1, math.inf)
                assert isinstance(held, HeldSlot)
                stream = await connect(
                    IP, host.server.port, traffic=Traffic(), purpose=Purpose.CALLS
                )
                messages = MessageStream(stream, CALL_CODEC)
                timers_before = host.timers.timers_set
                withheld_body = {"is_whole": False, "is_held": True, "length": 400}
                for call in (call_head(), call_head(**withheld_body), call_head()):
                    await messages.send(call)
                    with anyio.fail_after(2):
                        refused = await messages.receive()
                    assert isinstance(refused, Refused), refused
                    self.assertTrue(refused.is_overload)
                self.assertEqual(host.timers.timers_set, timers_before)
                self.assertEqual(host.server.running, 0)
                self.assertEqual((target.gate.running, target.gate.waiting), (1, 0))
                tasks.cancel_scope.cancel()

        anyio.run(run, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    unittest.main()
