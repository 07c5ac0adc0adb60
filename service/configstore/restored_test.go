package configstore_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/spread"
)

// logBuffer is a log that the test reads while the process writes.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// count returns the number of lines that contain the parts.
func (b *logBuffer) count(parts ...string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for line := range strings.Lines(b.text.String()) {
		if !slices.ContainsFunc(parts, func(p string) bool { return !strings.Contains(line, p) }) {
			n++
		}
	}
	return n
}

// Guards against a source that was restored from a backup and whose lower revisions are
// ignored without a log line, while its answers still confirm the active one.
func TestRevisionsBelowActiveAreReported(t *testing.T) {
	withTestbed(t, &api.Settings{Node: "self", Zone: "za"}, func(t *testing.T, b *testbed) {
		confirmedAge := func() (age time.Duration) {
			b.runOnLoop(func(now time.Duration) { age = now - find[api.OrderCheck](b).ConfirmedAt() })
			return age
		}
		// Reads may be handled before or after the health of the source is.
		const slack = time.Second
		for i, n := range []uint64{9, 3, 3, 4, 9} {
			b.source.revisions <- revision(n)
			time.Sleep(slack)
			for range 5 {
				time.Sleep(time.Second)
				b.source.unchanged <- struct{}{}
				synctest.Wait()
			}
			if age := confirmedAge(); (age < slack) != (n == 9) {
				t.Errorf("read %d, of revision %d: the active one was confirmed %s ago", i, n, age)
			}
		}
		if b.revision() != 9 {
			t.Errorf("revision %d replaced 9", b.revision())
		}
		for ignored, want := range map[string]int{"ignored=3": 1, "ignored=4": 1, "ignored=9": 0} {
			if got := b.log.count("older configuration ignored", ignored, "revision=9"); got != want {
				t.Errorf("%d log lines with %s, want %d", got, ignored, want)
			}
		}
	})
}

// Guards against content that loses to other content under the same revision without a log
// line that tells the two apart, as when a restored service gives a number out again.
func TestContentsOfOneRevisionAreToldApart(t *testing.T) {
	higher, lower := revision(9), revision(8)
	lower.Revision = higher.Revision
	if spread.Files(higher.Files).Digest() < spread.Files(lower.Files).Digest() {
		higher, lower = lower, higher
	}
	withTestbed(t, &api.Settings{Node: "self", Zone: "za"}, func(t *testing.T, b *testbed) {
		b.source.revisions <- higher
		synctest.Wait()
		b.source.revisions <- lower
		synctest.Wait()
		ignored := fmt.Sprintf("ignored_digest=%016x", spread.Files(lower.Files).Digest())
		active := fmt.Sprintf(" digest=%016x", spread.Files(higher.Files).Digest())
		if b.log.count("older configuration ignored", "ignored=9", "revision=9", ignored, active) != 1 {
			t.Errorf("no line with %s and%s", ignored, active)
		}
		if b.log.count("configuration activated", "revision=9", active) != 1 {
			t.Errorf("no line on the activation with%s", active)
		}
	})
}
