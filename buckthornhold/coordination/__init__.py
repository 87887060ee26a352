"""Coordination components that other programs can embed.

They don't import the daemon's request path and depend only on a store and
on links to peers.
"""
