"""``plantainhitch standin``: stand-ins for the platform and for endpoints.

They replace the real ones in tests and trials.
"""

import asyncio

from .exit_codes import ExitCode
from .usage import check_address, check_number

MIN_SPEED = 0.01


class StandIn:
    """Run a stand-in, which prints a JSON line with its address once it listens."""

    def platform(self, listen="127.0.0.1:0"):
        """Serve the platform's table service and object store from memory."""
        from ..standins.platform import serve

        asyncio.run(serve(check_address("listen", listen)))
        return ExitCode.OK

    def endpoint(self, **options):
        """Serve an endpoint; the options are those of ``standins.endpoint.main``."""
        from ..standins.endpoint import main

        for name in ("slots", "cores", "memory_mb", "accelerators"):
            if name in options:
                minimum = 1 if name == "slots" else 0
                check_number(name, options[name], minimum=minimum)
        if "speed" in options:
            check_number("speed", options["speed"], minimum=MIN_SPEED, kind=float)
        for name in ("listen", "agent"):
            if options.get(name):
                check_address(name, options[name])
        return main(**options)
