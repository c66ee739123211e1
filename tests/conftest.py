"""What all tests share: every run uses the same seeds."""

import hypothesis

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, print_blob=True
)
hypothesis.settings.load_profile("ci")
