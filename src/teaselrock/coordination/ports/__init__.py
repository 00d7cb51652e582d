"""Protocol types that the coordination layer implements and depends on.

Holds the ports to systems outside the process (`outside`), those between
components of the layer (`parts`), and those of an installation (`registry`).
"""

from teaselrock.coordination.ports.outside import BackendConnection
from teaselrock.coordination.ports.outside import BackendConnector
from teaselrock.coordination.ports.outside import DocumentCodec
from teaselrock.coordination.ports.outside import DocumentError
from teaselrock.coordination.ports.outside import PeerLink
from teaselrock.coordination.ports.outside import PlatformList
from teaselrock.coordination.ports.outside import Store
from teaselrock.coordination.ports.outside import StoredValue
from teaselrock.coordination.ports.outside import StoreError
from teaselrock.coordination.ports.outside import StoreErrorKind
from teaselrock.coordination.ports.parts import Admission
from teaselrock.coordination.ports.parts import Allowances
from teaselrock.coordination.ports.parts import AttemptBudget
from teaselrock.coordination.ports.parts import Charge
from teaselrock.coordination.ports.parts import Claim
from teaselrock.coordination.ports.parts import Directory
from teaselrock.coordination.ports.parts import HedgePolicy
from teaselrock.coordination.ports.parts import IdempotencyRecords
from teaselrock.coordination.ports.parts import MemberView
from teaselrock.coordination.ports.parts import MessageHandler
from teaselrock.coordination.ports.parts import Peers
from teaselrock.coordination.ports.parts import Permission
from teaselrock.coordination.ports.parts import Readiness
from teaselrock.coordination.ports.parts import ReportRow
from teaselrock.coordination.ports.parts import ReportWriter
from teaselrock.coordination.ports.parts import Slot
from teaselrock.coordination.ports.parts import SlotSource
from teaselrock.coordination.ports.registry import InstanceListing
from teaselrock.coordination.ports.registry import InstanceRegistration
from teaselrock.coordination.ports.registry import InstanceRegistry
from teaselrock.coordination.ports.registry import ObjectEntry
from teaselrock.coordination.ports.registry import ObjectListing
from teaselrock.coordination.ports.registry import ObjectSource
from teaselrock.coordination.ports.registry import RelayChannel
from teaselrock.coordination.ports.registry import RelayLink
from teaselrock.coordination.ports.registry import StorePosition

__all__ = (
    'Admission',
    'Allowances',
    'AttemptBudget',
    'BackendConnection',
    'BackendConnector',
    'Charge',
    'Claim',
    'Directory',
    'DocumentCodec',
    'DocumentError',
    'HedgePolicy',
    'IdempotencyRecords',
    'InstanceListing',
    'InstanceRegistration',
    'InstanceRegistry',
    'MemberView',
    'MessageHandler',
    'ObjectEntry',
    'ObjectListing',
    'ObjectSource',
    'PeerLink',
    'Peers',
    'Permission',
    'PlatformList',
    'Readiness',
    'RelayChannel',
    'RelayLink',
    'ReportRow',
    'ReportWriter',
    'Slot',
    'SlotSource',
    'Store',
    'StoreError',
    'StoreErrorKind',
    'StorePosition',
    'StoredValue',
)
