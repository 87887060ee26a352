"""Scaffolding for features and measurements: fleets of real processes."""
