"""All tests.

Property tests draw the same examples in each run, and none is judged by the clock: a machine that
is busy makes examples slow, which says nothing of the code.
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
