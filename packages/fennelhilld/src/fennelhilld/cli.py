"""Entry point of the daemon's command line."""

from __future__ import annotations

import sys
from _signal import SIGINT, SIGTERM

from fennelhill_core.signals import ProcessSignals


def main() -> None:
    """Run the command line."""
    signals = ProcessSignals(SIGTERM, SIGINT)
    if sys.argv[1:2] == ["run"]:
        # Everything else is imported after this: until then a signal ends the process.
        signals.install()
    import fire

    from fennelhilld.commands import FennelhillDaemon

    try:
        fire.Fire(FennelhillDaemon(signals), name="fennelhilld")
    finally:
        if sys.argv[1:2] == ["run"]:
            signals.ignore()


if __name__ == "__main__":
    main()
