"""Hand requests over to other hosts that reach the upstreams which this host does not.

The host that received a request from a client is its entry. `relay_planner` decides if
a request is run here or by another host, `handover_run` carries a request through
either way, and `relay_server` runs requests of other entries. A request is handed over
once: the host that takes it over never hands it on.
"""
