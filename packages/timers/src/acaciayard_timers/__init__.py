"""Time for every part: a clock, wake-ups, periods and timeouts behind one interface."""

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
    "EventLoopTimers",
    "ManualTimers",
    "PauseDetector",
    "Signal",
    "Subscription",
    "Tick",
    "TimerService",
]
