"""Report rows: copies at keepers and segments in the store.

The package writes the report. The instance that serves a request is the writer
of its row. The keepers are peers that keep copies of the row until the writer
has stored a segment with it. Reading, compacting and expiring the stored
report is in `report_reader`.
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
