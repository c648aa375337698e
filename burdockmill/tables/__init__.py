"""Define the rows and tables that hold the state of a host's event handlers."""
