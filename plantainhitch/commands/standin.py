"""``plantainhitch standin``: small stand-ins for the platform and for endpoints.

They take the place of the real ones in tests and trials.
"""

import asyncio

from ..transport.addresses import Address

EXIT_OK = 0


class StandIn:
    """Run a stand-in; it prints a JSON line with its address when it listens."""

    def platform(self, listen="127.0.0.1:0"):
        """Serve the platform's table service and object store in memory."""
        from ..standins.platform import serve

        asyncio.run(serve(Address.from_text(listen)))
        return EXIT_OK

    def endpoint(self, **options):
        """Serve an endpoint; the options are those of ``standins.endpoint.main``."""
        from ..standins.endpoint import main

        return main(**options)
