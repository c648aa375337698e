"""Measure burdockmill against its own baselines.

The entry of a query is the host that the caller asked; an owner is the one host of a
failure domain that sends requests to an upstream. A part is one shard's share of a
query. A slope is the growth of a cost with one quantity, such as parts or members.
"""
