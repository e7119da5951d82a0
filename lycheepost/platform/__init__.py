"""One typed port for each service of the platform."""
