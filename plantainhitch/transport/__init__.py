"""Sockets, frames, HTTP servers and clients."""
