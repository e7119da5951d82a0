"""Measurements of policy, relay, decision and control costs."""
