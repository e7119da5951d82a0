"""Callers' traffic: generated, sent and audited."""
