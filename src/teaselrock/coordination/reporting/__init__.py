"""Report rows: copies at keepers and segments in the store."""

from teaselrock.coordination.reporting.messages import EndedRows
from teaselrock.coordination.reporting.messages import EndedRowsAck
from teaselrock.coordination.reporting.messages import KeptRowsQuery
from teaselrock.coordination.reporting.messages import RowAck
from teaselrock.coordination.reporting.messages import RowCopy
from teaselrock.coordination.reporting.messages import RowsStored
from teaselrock.coordination.reporting.report import ReportOptions
from teaselrock.coordination.reporting.report import SegmentReportWriter

__all__ = (
    'EndedRows',
    'EndedRowsAck',
    'KeptRowsQuery',
    'ReportOptions',
    'RowAck',
    'RowCopy',
    'RowsStored',
    'SegmentReportWriter',
)
