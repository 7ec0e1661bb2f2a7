"""Stand-ins for the platform, the instances and the clients."""
