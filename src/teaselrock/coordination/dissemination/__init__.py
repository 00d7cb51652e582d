"""Dissemination of the configuration and of facts among instances.

Holds the configuration in force, its sources (store and peers), and the table
of facts: which servers and instances are leaving.
"""

from teaselrock.coordination.dissemination.facts import FactTable
from teaselrock.coordination.dissemination.facts import INSTANCE
from teaselrock.coordination.dissemination.facts import SERVER
from teaselrock.coordination.dissemination.messages import ConfigDelta
from teaselrock.coordination.dissemination.messages import Fact
from teaselrock.coordination.dissemination.messages import KINDS
from teaselrock.coordination.dissemination.peer_source import MAX_DELTAS_BYTES
from teaselrock.coordination.dissemination.store_source import HEAD_KEY
from teaselrock.coordination.dissemination.sync import ConfigurationSync

__all__ = (
    'ConfigDelta',
    'ConfigurationSync',
    'Fact',
    'FactTable',
    'HEAD_KEY',
    'INSTANCE',
    'KINDS',
    'MAX_DELTAS_BYTES',
    'SERVER',
)
