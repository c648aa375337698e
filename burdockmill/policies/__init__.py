"""Decide on limits, budgets, timing and the choice of replicas, without I/O."""
