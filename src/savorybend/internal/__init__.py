"""Private implementation; nothing in here is part of the public API."""
