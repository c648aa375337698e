"""Decide, tick by tick, what a host does next.

A system handles some event types, with timers of its own, on tables that all systems
share (as in an entity-component system). The key of an expired timer is a due key. The
systems, their policies and tables form the core, the deterministic part of a host: it
does no I/O and takes the time and random generator from its caller.

In the names here, an owner is the one host that sends work to an upstream, a part is
one attempt for a shard on one upstream, and a run is one run of a host's process.
"""
