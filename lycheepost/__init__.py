"""A router for language-model traffic with long, nested, shared prompts."""
