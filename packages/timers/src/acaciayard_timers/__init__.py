"""A clock, timers, periodic ticks and timeouts behind one interface that tests can replace."""

from ._account import NO_ACCOUNT, ProcessorAccount, ProcessorPart
from ._pause import PauseDetector
from ._reply_wait import ReplyWait
from ._service import (
    MAX_RESUME_DELAY,
    EventLoopTimers,
    ManualTimers,
    Subscription,
    Tick,
    TimerService,
)
from ._signal import Signal

__all__ = [
    "MAX_RESUME_DELAY",
    "NO_ACCOUNT",
    "EventLoopTimers",
    "ManualTimers",
    "PauseDetector",
    "ProcessorAccount",
    "ProcessorPart",
    "ReplyWait",
    "Signal",
    "Subscription",
    "Tick",
    "TimerService",
]
