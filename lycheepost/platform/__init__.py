"""The adapter to the users' platform: it only translates.

It decodes the platform's settings, documents, calls and headers into the product's
own records and encodes the product's into theirs. No decision is made here.
"""
