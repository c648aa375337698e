"""Serve callers, peers and operators over HTTP.

A surface is one HTTP interface of a host, with its own address and limits: "caller" or
"ingress" for clients, "peer", "operator", and "ready" for the load balancer.
"""
