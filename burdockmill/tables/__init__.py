"""Define the rows and tables of state that the systems work on."""
