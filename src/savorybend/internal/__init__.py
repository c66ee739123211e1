"""Private machinery: nothing in here is part of the public interface."""
