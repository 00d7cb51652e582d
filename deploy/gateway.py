"""Starts a gateway on the platform, from the repository's own source."""

import pathlib
import signal
import sys

# The default of SIGHUP ends the process. Until the gateway handles it, the
# signal says nothing new: the settings have not been read yet.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'src'))

from teaselrock.daemon import platform_gateway  # noqa: E402

if __name__ == '__main__':
    sys.exit(platform_gateway.main())
