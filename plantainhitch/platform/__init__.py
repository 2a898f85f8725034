"""The adapter to the users' platform: its names, formats and calls.

Nothing here decides anything. Each message of the platform is decoded once into
types of the product, and no other package knows the platform's names.
"""
