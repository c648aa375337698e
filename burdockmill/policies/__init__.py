"""Implement the decisions that vary between services."""
