"""The application object and its life-cycle hooks."""
