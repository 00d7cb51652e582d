"""Configuration: the operators' document, edits, versions and rules."""

from teaselrock.state.configuration.document import AllowanceEntry
from teaselrock.state.configuration.document import CustomerEntry
from teaselrock.state.configuration.document import Document
from teaselrock.state.configuration.document import OutOfServiceEntry
from teaselrock.state.configuration.document import PlanEntry
from teaselrock.state.configuration.document import ServiceEntry
from teaselrock.state.configuration.edits import apply_edits
from teaselrock.state.configuration.edits import Delta
from teaselrock.state.configuration.edits import diff_documents
from teaselrock.state.configuration.edits import Edit
from teaselrock.state.configuration.edits import empty_document
from teaselrock.state.configuration.edits import SECTIONS
from teaselrock.state.configuration.rules import RuleError
from teaselrock.state.configuration.rules import validate_document
from teaselrock.state.configuration.rules import validate_edits
from teaselrock.state.configuration.versions import ConfigurationHead
from teaselrock.state.configuration.versions import Snapshot

__all__ = (
    'AllowanceEntry',
    'ConfigurationHead',
    'CustomerEntry',
    'Delta',
    'Document',
    'Edit',
    'OutOfServiceEntry',
    'PlanEntry',
    'RuleError',
    'SECTIONS',
    'ServiceEntry',
    'Snapshot',
    'apply_edits',
    'diff_documents',
    'empty_document',
    'validate_document',
    'validate_edits',
)
