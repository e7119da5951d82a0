"""Models of the platform's store and servers that speak its protocol."""
