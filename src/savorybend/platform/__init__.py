"""The adapter to the users' platform: names, formats and operations.

It contains no decisions. Names of the platform's wire formats are used in this
package only; each is decoded once, into types with descriptive fields.
"""
