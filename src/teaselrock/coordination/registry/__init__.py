"""Routes, servers and zones of an installation, followed in its store."""

from teaselrock.coordination.registry.matching import RouteIndex
from teaselrock.coordination.registry.matching import RouteShares
from teaselrock.coordination.registry.sync import InstallationSync
from teaselrock.coordination.registry.sync import KindSync
from teaselrock.coordination.registry.view import InstallationView

__all__ = (
    'InstallationSync',
    'InstallationView',
    'KindSync',
    'RouteIndex',
    'RouteShares',
)
