"""Run a scenario: an engine's home dies while a stream is under way.

Run it with ``.venv/bin/python examples/lost_home.py``.
"""

from ashhoist_standins.scenario import Scenario, figures

TEXT = """
zones 2
instances 4
engine e0 zone-0 fences
declare 2
ask a0 stream tokens 60 from i1
wait 1s
kill home:e0
wait 20s
expect whole = 1
"""

scenario = Scenario(seed=1)
failed = scenario.run(TEXT)
print("broken promises or expectations:", failed or "none")
print("figures:", figures(scenario))
