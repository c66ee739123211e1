"""Small stand-ins for what savorybend meets: for tests, demo and bench."""
