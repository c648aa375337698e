"""Define the events, actions and messages that enter or leave the core.

The core is the deterministic part of a host: it gets events and the time, returns
actions, and does no I/O.
"""
