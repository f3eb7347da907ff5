"""All tests. Hypothesis judges examples here, not the speed of the machine.

Its health check of how fast examples are made goes by the wall clock: on a machine
with all cores busy it failed tests whose examples were all right. A test must have
one verdict on any machine, so that check and the deadline of an example are off.
"""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "any-machine", deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("any-machine")
