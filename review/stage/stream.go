package stage

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// BeginStream sends the head of a stream.
func (w *Worker) BeginStream(out http.ResponseWriter, r *http.Request) {
	h := out.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Mulberryfork-Response-Signature", "sig."+w.ID+"."+r.Header.Get("X-Mulberryfork-Attempt-Id"))
	out.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(out).Flush()
}

// SendEvent sends an event of a stream.
func SendEvent(out http.ResponseWriter, id int) {
	_, _ = fmt.Fprintf(out, "id: %d\ndata: %s\n\n", id, strings.Repeat("x", 60))
	_ = http.NewResponseController(out).Flush()
}

// SendStream sends the events after the one with the ID last.
func (w *Worker) SendStream(out http.ResponseWriter, r *http.Request, last, events int, interval time.Duration) {
	w.BeginStream(out, r)
	for id := last + 1; id <= events; id++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(interval):
		}
		SendEvent(out, id)
	}
}
