"""The adapter to the users' platform: its names, formats and calls.

This package makes no scheduling decisions. It decodes each message of the platform
once into types of the product, and no other package uses the platform's names.
"""
