"""A micro-kernel: named services that exchange messages, and a timer that they subscribe to."""

from orioleplank.kernel._kernel import Kernel
from orioleplank.kernel._service import Service
from orioleplank.kernel._timer import Timer, TimerTick

__all__ = ["Kernel", "Service", "Timer", "TimerTick"]
