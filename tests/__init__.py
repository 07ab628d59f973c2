"""Test suite.

Property tests draw the same examples in each run. They have no deadline, since examples can be slow
on a busy machine for reasons that have nothing to do with the code.
"""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "repository",
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("repository")
