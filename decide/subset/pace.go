package subset

import "time"

const (
	// ReportBytesPerSecond is the share of control traffic that load reports may take
	// at one process, in bytes a second.
	ReportBytesPerSecond = 1200
	// baseReportBytes is the size of a load report without cache changes.
	baseReportBytes = 100
	// changeBytes is the size of one cache change in a report.
	changeBytes = 9
	// MinReportInterval and LongestReport bound the time between load reports.
	// The longest one equals the heartbeat of a link.
	MinReportInterval = 100 * time.Millisecond
	MaxReportInterval = 2 * time.Second
	// MaxChangesPerReport bounds the cache changes in one report.
	MaxChangesPerReport = 32
)

// Pace is how often and how much an agent reports on one link.
type Pace struct {
	Interval time.Duration
	// Changes is the number of cache changes that fit into one report.
	Changes int
}

// PaceOf keeps the load reports of a process within their share, for the
// number of links of the process at either end that has more of them. Cache
// changes get what the reports leave; routers still know the prefixes that
// they sent themselves.
func PaceOf(links int) Pace {
	links = max(links, 1)
	interval := time.Duration(links*baseReportBytes) * time.Second / ReportBytesPerSecond
	p := Pace{Interval: min(max(interval, MinReportInterval), MaxReportInterval)}
	room := ReportBytesPerSecond*p.Interval.Seconds()/float64(links) - baseReportBytes
	p.Changes = min(max(int(room/changeBytes), 0), MaxChangesPerReport)
	return p
}
