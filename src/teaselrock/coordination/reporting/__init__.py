"""Report rows: copies at keepers and segments in the store.

The package writes the report: each request has a row, whose copies are kept by
peers, the keepers, until a segment with the row is stored. Reading, compacting
and expiring the stored report is in `report_reader`.
"""

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
