"""Stand-ins for hosts that each reach the backends on a path of their own."""
