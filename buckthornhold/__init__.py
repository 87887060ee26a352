"""A serving system for reclaimable hosts."""
