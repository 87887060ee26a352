"""Stand-ins for the outside systems, used by the demo and by tests."""
