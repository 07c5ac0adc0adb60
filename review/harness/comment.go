//go:build review

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["comment"] = playComment }

const (
	// usualStep is the time between two events of a sound worker, slowFactor that of a slow one
	// as a multiple of it.
	usualStep  = 60 * time.Millisecond
	slowFactor = 12
	// keepAliveAfter is the time without an event after which a worker sends a comment. In an
	// event stream, a line that starts with a colon is a comment and no event.
	keepAliveAfter = 400 * time.Millisecond
)

// writeEvents answers with the events after Last-Event-Id and keeps the connection alive with
// comments where an event takes long.
func writeEvents(w http.ResponseWriter, r *http.Request, step time.Duration) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	flush := func() { _ = http.NewResponseController(w).Flush() }
	flush()
	for id := last + 1; id <= streamPieces; id++ {
		for left := step; left > 0; {
			wait := min(left, keepAliveAfter)
			select {
			case <-time.After(wait):
			case <-r.Context().Done():
				return
			}
			if left -= wait; left > 0 {
				fmt.Fprint(w, ": keep-alive\n\n")
				flush()
			}
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, id)
		flush()
	}
}

// playComment has one of four workers turn slow, while clients read streams.
func playComment(s *system, trouble bool) (bool, error) {
	s.store.put("op/config", config(7, []map[string]any{route("draft", "/draft/", "streaming", "pool", 8000, 2)}, []map[string]any{serviceEntry("pool")}))
	var slow atomic.Bool
	for i := range 4 {
		k := &worker{id: fmt.Sprintf("i-%d", i+1), service: "pool", address: "127.0.0.1:0", zone: "sk-west-a", slots: 12,
			born: time.Now().UnixMilli() - 60_000, weightVersion: 1}
		k.answer = func(w http.ResponseWriter, r *http.Request, _ []byte) {
			step := usualStep
			if i == 0 && slow.Load() {
				step *= slowFactor
			}
			writeEvents(w, r, step)
		}
		if err := k.start(s.rec); err != nil {
			return false, err
		}
		defer k.stop()
		k.register(s.store)
	}
	if err := s.startEdges(1); err != nil {
		return false, err
	}
	slow.Store(trouble)
	whole, holed := 0, 0
	for i := range 40 {
		c := &caller{name: "client", address: s.edges[0].http, rec: s.rec}
		a := c.do(request{method: "POST", target: fmt.Sprintf("/draft/%d", i), body: []byte("draft"), deadlineMs: 8000})
		c.close()
		if a.err != nil || a.status != http.StatusOK {
			continue
		}
		var got, want []string
		for id := 1; id <= streamPieces; id++ {
			want = append(want, strconv.Itoa(id))
		}
		for _, line := range strings.Split(string(a.body), "\n") {
			if id, ok := strings.CutPrefix(line, "id: "); ok {
				got = append(got, id)
			}
		}
		if strings.Join(got, ",") == strings.Join(want, ",") {
			whole++
			continue
		}
		holed++
		s.rec.log("request %s: the stream ended as complete with the events %v of %v", a.id, got, want)
	}
	s.rec.log("%d streams were whole, %d ended as complete without a piece", whole, holed)
	return holed > 0, nil
}
