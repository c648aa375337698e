"""Forward opaque requests to registered upstreams, one shard or many at once.

A part is the share of a request that one shard answers, or the whole request if its
route has no shards.
"""
