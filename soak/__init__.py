"""Run hosts as processes for minutes, put faults in, and check what others saw."""
