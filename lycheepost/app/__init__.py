"""Wires the components of a daemon together and runs their life cycle."""
