"""Run a small fleet in one process as a demo."""
