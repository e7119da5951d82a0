"""Typed interfaces (ports) to the platform's services, and their HTTP clients."""
