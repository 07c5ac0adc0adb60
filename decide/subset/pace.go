package subset

import "time"

const (
	// ReportBytes is the share of control traffic that load reports may take
	// at one process, in bytes a second.
	ReportBytes = 1200
	// reportBytes is the size of a load report without cache changes.
	reportBytes = 100
	// changeBytes is the size of one cache change in a report.
	changeBytes = 9
	// ShortestReport and LongestReport bound the time between load reports.
	// The longest one equals the heartbeat of a link.
	ShortestReport = 100 * time.Millisecond
	LongestReport  = 2 * time.Second
	// MostChanges bounds the cache changes in one report.
	MostChanges = 32
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
	interval := time.Duration(links*reportBytes) * time.Second / ReportBytes
	p := Pace{Interval: min(max(interval, ShortestReport), LongestReport)}
	room := ReportBytes*p.Interval.Seconds()/float64(links) - reportBytes
	p.Changes = min(max(int(room/changeBytes), 0), MostChanges)
	return p
}
