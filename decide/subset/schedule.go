package subset

import "time"

const (
	// ReportBytesPerSecond is the bandwidth that a process may use for load reports,
	// as part of its control traffic.
	ReportBytesPerSecond = 1200
	// baseReportBytes is the size of a load report without cache changes.
	baseReportBytes = 100
	// changeBytes is the size of one cache change in a report.
	changeBytes = 9
	// MinReportInterval and MaxReportInterval limit the time between load reports.
	// The maximum equals the heartbeat interval of a link.
	MinReportInterval = 100 * time.Millisecond
	MaxReportInterval = 2 * time.Second
	// MaxChangesPerReport limits the cache changes in one report.
	MaxChangesPerReport = 32
)

// ReportSchedule sets the interval and size of an agent's load reports on one link.
type ReportSchedule struct {
	Interval time.Duration
	// MaxChanges is the maximum number of cache changes in one report.
	MaxChanges int
}

// ScheduleReports returns the schedule that keeps the load reports of a process
// within ReportBytesPerSecond. links is the number of links of the process at
// either end of the link, whichever has more. Cache changes get the bandwidth that
// the rest of the reports leaves. If changes are left out, routers still know the
// prefixes that they sent themselves.
func ScheduleReports(links int) ReportSchedule {
	links = max(links, 1)
	interval := time.Duration(links*baseReportBytes) * time.Second / ReportBytesPerSecond
	s := ReportSchedule{Interval: min(max(interval, MinReportInterval), MaxReportInterval)}
	bytesLeft := ReportBytesPerSecond*s.Interval.Seconds()/float64(links) - baseReportBytes
	s.MaxChanges = min(max(int(bytesLeft/changeBytes), 0), MaxChangesPerReport)
	return s
}
