package metrics_test

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/mulberryfork/mulberryfork/api"
)

// checkedPages are the pages on which each word in code style that looks like the
// name of a metric must be in api.MetricTable or in allowedWords.
var checkedPages = []string{"start.md", "members.md", "burn.md", "rolling-replacement.md", "alarms.md"}

// allowedWords are settings, configuration keys, failure kinds and failure codes
// on the pages.
var allowedWords = []string{
	"drain_delay", "outcome_retention", "queue_requests", "requests_per_second", "retry_ratio", "stop_deadline", "token_hashes",
	"first_token", "token_gap", "not_run", "queue_full", "rate_limited", "ledger_full",
}

var codeWord = regexp.MustCompile("`([a-z]+(?:_[a-z]+)+)`")

// Guards against operator pages, such as the one on alarms, that name metrics which no
// process publishes.
func TestPagesNameOnlyListedMetrics(t *testing.T) {
	known := slices.Clone(allowedWords)
	for _, m := range api.MetricTable {
		known = append(known, m.Name)
	}
	for _, name := range checkedPages {
		page, err := os.ReadFile(filepath.Join("../../docs/operators", name))
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range codeWord.FindAllStringSubmatch(string(page), -1) {
			if !slices.Contains(known, m[1]) {
				t.Errorf("%s names %s, which is not in api.MetricTable", name, m[1])
			}
		}
	}
}

// Guards against an alarm without a listed metric, which TestPagesNameOnlyListedMetrics
// misses if the name is a single word, and one without a threshold or first steps.
func TestAlarmsNameAMetric(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/alarms.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := 0
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(line, "|")
		if len(cells) != 6 || strings.Contains(cells[2], "---") || strings.TrimSpace(cells[2]) == "figure" {
			continue
		}
		rows++
		if strings.Contains(cells[2], "status") {
			continue
		}
		listed := slices.ContainsFunc(api.MetricTable, func(m api.Metric) bool {
			return strings.HasPrefix(strings.TrimSpace(cells[2]), "`"+m.Name+"`")
		})
		if !listed || strings.TrimSpace(cells[3]) == "" || strings.TrimSpace(cells[4]) == "" {
			t.Errorf("alarm %q lacks a listed metric, a threshold or first steps", cells[1])
		}
	}
	if rows == 0 {
		t.Error("no alarms")
	}
}
