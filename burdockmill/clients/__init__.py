"""Send HTTP requests to upstreams, peers and the platform."""
