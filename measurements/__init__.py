"""Measurements of the running system; each module prints JSON."""
