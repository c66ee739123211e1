"""Forwards calls from callers on a VM to backend servers on any VM.

docs/design/platform.md describes the components. Only the platform adapter
knows names of the platform's wire formats.
"""
