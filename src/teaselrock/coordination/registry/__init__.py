"""View of an installation: its routes, servers and zones out of service.

An installation is the set of routes, servers and zones in one store, and the
instances that serve them. The package holds this instance's view, the watch of
the store that updates it, and the relay of changes between the instances of a
region.
"""

from teaselrock.coordination.registry.matching import RouteIndex
from teaselrock.coordination.registry.matching import RouteShares
from teaselrock.coordination.registry.messages import RELAY_PROTOCOL
from teaselrock.coordination.registry.relay import RegionRelay
from teaselrock.coordination.registry.sync import InstallationSync
from teaselrock.coordination.registry.view import InstallationView
from teaselrock.coordination.registry.watch import KindWatch
from teaselrock.coordination.registry.watch import StoreConnectivity
from teaselrock.coordination.registry.watch import StoreWatch

__all__ = (
    'InstallationSync',
    'InstallationView',
    'KindWatch',
    'RELAY_PROTOCOL',
    'RegionRelay',
    'RouteIndex',
    'RouteShares',
    'StoreConnectivity',
    'StoreWatch',
)
