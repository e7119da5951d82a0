"""One typed port for each service outside, and the clients of our own ones."""
