"""Network transport: framed links, HTTP servers and HTTP clients."""
