"""Report rows, segments, merging and readings."""

from teaselrock.state.report.readings import Account
from teaselrock.state.report.readings import account_of
from teaselrock.state.report.readings import accounting_lines
from teaselrock.state.report.readings import Completeness
from teaselrock.state.report.readings import completeness
from teaselrock.state.report.readings import Difference
from teaselrock.state.report.readings import finance
from teaselrock.state.report.readings import operations
from teaselrock.state.report.readings import OperationsLine
from teaselrock.state.report.readings import OUTCOME_UNKNOWN
from teaselrock.state.report.readings import reconcile
from teaselrock.state.report.rows import accounting_of
from teaselrock.state.report.rows import AccountingRow
from teaselrock.state.report.rows import Cover
from teaselrock.state.report.rows import day_of
from teaselrock.state.report.rows import MAX_SEGMENT_BYTES
from teaselrock.state.report.rows import merge
from teaselrock.state.report.rows import merge_accounting
from teaselrock.state.report.rows import more_complete
from teaselrock.state.report.rows import PREFIX
from teaselrock.state.report.rows import Row
from teaselrock.state.report.rows import RowAttempt
from teaselrock.state.report.rows import Segment
from teaselrock.state.report.rows import segment_key

__all__ = (
    'Account',
    'AccountingRow',
    'Completeness',
    'Cover',
    'Difference',
    'MAX_SEGMENT_BYTES',
    'OUTCOME_UNKNOWN',
    'OperationsLine',
    'PREFIX',
    'Row',
    'RowAttempt',
    'Segment',
    'account_of',
    'accounting_lines',
    'accounting_of',
    'completeness',
    'day_of',
    'finance',
    'merge',
    'merge_accounting',
    'more_complete',
    'operations',
    'reconcile',
    'segment_key',
)
