"""Forward opaque requests to registered upstreams, one shard or many at once."""
