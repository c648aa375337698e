"""Define the events, actions and messages that enter or leave the core."""
