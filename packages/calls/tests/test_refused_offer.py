"""A target that is full refuses a call before anything is set up for it.

Where slots lack, a quarter of the offers between daemons and more come to nothing.
"""

from __future__ import annotations

import math
import unittest

import anyio
from call_rig import IP, Host, ScriptedTarget

from acaciayard_admission import HeldSlot
from acaciayard_handover._messages import CALL_CODEC, CallHead, Refused
from acaciayard_http1 import RequestHead
from acaciayard_wire import ByteStream, MessageStream, Purpose, Traffic, connect


async def never(_head: RequestHead, _stream: ByteStream) -> None:
    raise AssertionError("the target got a call that was refused")


def head(**changes: object) -> CallHead:
    """A call that is worth a free slot and no wait."""
    plain = {"fields": b"x-request: r1\r\n", "body": b"", "is_whole": True, "length": 0}
    more = {"priority": 1, "budget": 2.0, "start_within": 0.0, "is_idempotent": True}
    return CallHead("a", b"GET", b"/x", **{**plain, **more, **changes})  # type: ignore[arg-type]


class RefusedOfferTest(unittest.TestCase):
    def test_no_timer_is_set_and_the_stream_serves_the_next_call(self) -> None:
        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                host = Host("full", ScriptedTarget(never))
                await host.open(tasks, slots=1)
                (target,) = host.targets.all
                held = target.gate.try_enter(1, math.inf)
                assert isinstance(held, HeldSlot)
                stream = await connect(
                    IP, host.server.port, traffic=Traffic(), purpose=Purpose.CALLS
                )
                messages = MessageStream(stream, CALL_CODEC)
                before = host.timers.timers_set
                held_back = {"is_whole": False, "is_held": True, "length": 400}
                for call in (head(), head(**held_back), head()):
                    await messages.send(call)
                    with anyio.fail_after(2):
                        refused = await messages.receive()
                    assert isinstance(refused, Refused), refused
                    self.assertTrue(refused.is_overload)
                self.assertEqual(host.timers.timers_set, before)
                self.assertEqual(host.server.running, 0)
                self.assertEqual((target.gate.running, target.gate.waiting), (1, 0))
                tasks.cancel_scope.cancel()

        anyio.run(run, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    unittest.main()
