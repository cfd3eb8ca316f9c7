"""A clock, timers, periodic ticks and timeouts behind one interface that tests can replace."""

from ._account import NO_ACCOUNT, ProcessorAccount, ProcessorPart
from ._pause import PauseDetector
from ._service import (
    SLEEP_NOTICED_WITHIN,
    EventLoopTimers,
    ManualTimers,
    Subscription,
    Tick,
    TimerService,
)
from ._signal import Signal

__all__ = [
    "SLEEP_NOTICED_WITHIN",
    "NO_ACCOUNT",
    "EventLoopTimers",
    "ManualTimers",
    "PauseDetector",
    "ProcessorAccount",
    "ProcessorPart",
    "Signal",
    "Subscription",
    "Tick",
    "TimerService",
]
