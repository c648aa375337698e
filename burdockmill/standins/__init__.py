"""Provide stand-ins of upstreams and of the platform for demos and tests."""
