"""Stand-ins of clients, upstreams, the store and the platform for review cases."""
