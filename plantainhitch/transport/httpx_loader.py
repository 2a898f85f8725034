"""Imports httpx without its command-line module.

That module would load a terminal library of 3 MB, and nothing here uses it. httpx
works without it if it can't be imported.
"""

import sys

sys.modules.setdefault("httpx._main", None)

import httpx  # noqa: E402 -- after the entry in sys.modules

__all__ = ["httpx"]
