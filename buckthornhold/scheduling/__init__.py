"""Scheduling: decisions under load, without a network.

Both request paths call these modules. They import neither an interface, the
platform's adapter nor the network.
"""
