"""All tests. Hypothesis judges examples here, not the speed of the machine.

Its health check of how fast examples are made goes by the wall clock: on a machine
with all cores busy it failed tests whose examples were all right. A test must have
one verdict on any machine, so that check and the deadline of an example are off.
"""

import sys
from pathlib import Path

from hypothesis import HealthCheck, settings

ROOT = Path(__file__).parent.parent
"""Of the repository; the platform's adapter is not a package that is installed."""
sys.path.insert(0, str(ROOT / "platform"))

settings.register_profile(
    "any-machine", deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("any-machine")
