"""Two deployments, and a demonstration of both."""
