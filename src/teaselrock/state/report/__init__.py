"""Report rows, segments, and their merging and summaries."""

from teaselrock.state.report.rows import accounting_row_of
from teaselrock.state.report.rows import AccountingRow
from teaselrock.state.report.rows import MAX_SEGMENT_BYTES
from teaselrock.state.report.rows import merge_accounting_rows
from teaselrock.state.report.rows import merge_rows
from teaselrock.state.report.rows import more_complete_row
from teaselrock.state.report.rows import REPORT_KEY_PREFIX
from teaselrock.state.report.rows import Row
from teaselrock.state.report.rows import RowAttempt
from teaselrock.state.report.rows import Segment
from teaselrock.state.report.rows import segment_key
from teaselrock.state.report.rows import SegmentCoverage
from teaselrock.state.report.rows import utc_day
from teaselrock.state.report.summaries import Account
from teaselrock.state.report.summaries import account_of
from teaselrock.state.report.summaries import AccountDifference
from teaselrock.state.report.summaries import accounting_lines
from teaselrock.state.report.summaries import Completeness
from teaselrock.state.report.summaries import completeness_by_writer
from teaselrock.state.report.summaries import operations_lines
from teaselrock.state.report.summaries import OperationsLine
from teaselrock.state.report.summaries import OUTCOME_UNKNOWN
from teaselrock.state.report.summaries import reconcile
from teaselrock.state.report.summaries import units_by_account

__all__ = (
    'Account',
    'AccountDifference',
    'AccountingRow',
    'Completeness',
    'MAX_SEGMENT_BYTES',
    'OUTCOME_UNKNOWN',
    'OperationsLine',
    'REPORT_KEY_PREFIX',
    'Row',
    'RowAttempt',
    'Segment',
    'SegmentCoverage',
    'account_of',
    'accounting_lines',
    'accounting_row_of',
    'completeness_by_writer',
    'merge_accounting_rows',
    'merge_rows',
    'more_complete_row',
    'operations_lines',
    'reconcile',
    'segment_key',
    'units_by_account',
    'utc_day',
)
