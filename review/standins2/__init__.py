"""Stand-ins of clients, back ends and the platform for the cases 6 to 10."""
