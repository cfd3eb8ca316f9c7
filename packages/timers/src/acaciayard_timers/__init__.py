"""Time for every part: a clock, wake-ups, periods and timeouts behind one interface."""

from ._pause import PauseDetector
from ._service import EventLoopTimers, ManualTimers, Subscription, Tick, TimerService
from ._signal import Signal

__all__ = [
    "EventLoopTimers",
    "ManualTimers",
    "PauseDetector",
    "Signal",
    "Subscription",
    "Tick",
    "TimerService",
]
