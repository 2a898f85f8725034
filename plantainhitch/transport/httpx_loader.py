"""httpx without its command line, which would load a terminal library of 3 MB.

httpx does without that module where it can't be imported; a process of ours never
uses it.
"""

import sys

sys.modules.setdefault("httpx._main", None)

import httpx  # noqa: E402 -- the line above has to come first

__all__ = ["httpx"]
