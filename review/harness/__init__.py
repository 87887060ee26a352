"""Harness of the review's scripts: stand-ins and a small deployment."""
