"""Translate between the users' platform and burdockmill; decide nothing.

Only this package knows the names of the platform's headers, fields and calls.
"""
