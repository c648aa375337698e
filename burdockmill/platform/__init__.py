"""Translate between the users' platform and burdockmill, without any decisions.

The platform is the environment that a fleet is deployed in: a settings file for each
host, a store of configuration and registrations, and headers of requests.
Only this package uses the names of the platform's headers, fields and calls.
"""
