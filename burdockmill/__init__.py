"""Answer searches over many shards and state how complete each answer is.

Each host has a core, which makes all decisions without I/O, clients that send to
upstreams, peers and the platform, and surfaces, the HTTP interfaces that it serves.
"""
