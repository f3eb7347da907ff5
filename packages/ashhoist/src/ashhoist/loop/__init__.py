"""The event loop: one thread that waits for all sockets and all due moments."""

from .loop import Loop, Poller, Timer
from .task import Steps, Task, Wait, sleep_until

__all__ = ["Loop", "Poller", "Steps", "Task", "Timer", "Wait", "sleep_until"]
