"""The users' platform: its settings, store, wire formats and calls.

This package only translates between the platform's wire and this system's
types. All decisions, state and recovery are in the modules outside it, which
don't use the platform's names.
"""
