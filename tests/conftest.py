"""Settings shared by all tests."""

import os

from hypothesis import HealthCheck, settings

settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile('deep', max_examples=2000, deadline=None)
settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))
