package metrics

import (
	"fmt"
	"strings"

	"github.com/mulberryfork/mulberryfork/api"
)

// Page returns the text of docs/metrics.md, generated from api.MetricTable.
func Page() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\n" +
		"Each process publishes these in the form of package expvar at `/debug/vars` on its admin address. " +
		"Counters are totals since the start of the process. A histogram has `count`, `p50`, `p95`, `p99`, `p999` " +
		"and `hdr`, the compressed HdrHistogram in base64, so that several processes can be added up.\n\n" +
		"This page is made from the table in `api/metrics.go`: `go test ./service/metrics -update`.\n\n" +
		"| name | kind | unit | label | process | meaning |\n|---|---|---|---|---|---|\n")
	for _, m := range api.MetricTable {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", m.Name, m.Kind, m.Unit, m.Label, m.Process, m.Help)
	}
	return b.String()
}
