"""Decisions under load, without input, output or a clock."""
