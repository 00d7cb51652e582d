"""Starts a gateway on the platform from the source in this repository."""

import pathlib
import signal
import sys

# By default SIGHUP ends the process. Until the gateway handles it, it can be
# ignored, since the settings have not been read yet.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'src'))

from teaselrock.daemon import platform_gateway  # noqa: E402

if __name__ == '__main__':
    sys.exit(platform_gateway.main())
