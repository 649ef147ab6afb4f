"""Tests of the project."""

from hypothesis import HealthCheck, settings

# Disables time limits: slow input generation on a busy machine must not fail a test.
settings.register_profile("steady", deadline=None, suppress_health_check=[HealthCheck.too_slow])
settings.load_profile("steady")
