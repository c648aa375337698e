"""Translate between the users' platform and burdockmill, without any decisions.

Only this package uses the names of the platform's headers, fields and calls.
"""
