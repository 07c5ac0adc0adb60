package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that reached a worker and was run by it.
type arrival struct {
	at     time.Duration
	id     string
	worker string
	path   string
}

// worker is a stand-in for a plain worker. It runs each request that expects it.
type worker struct {
	bench *bench
	id    string
	// work is how long a run takes.
	work time.Duration

	mu   sync.Mutex
	runs []arrival
}

// ServeHTTP runs a request, as PROTOCOL.md says.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Mulberryfork-Attempt-Id")
	out.Header().Set("X-Mulberryfork-Attempt-Id", id)
	if expected := r.Header.Get("X-Mulberryfork-Expected-Instance"); expected != "" && expected != w.id {
		out.Header().Set("X-Mulberryfork-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.runs = append(w.runs, arrival{at: w.bench.now(), id: id, worker: w.id, path: r.URL.Path})
	w.mu.Unlock()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	time.Sleep(w.work)
	out.Header().Set("X-Mulberryfork-Response-Signature", "sig."+w.id+"."+id)
	out.Header().Set("X-Mulberryfork-Server-Load", "1,0,6")
	_, _ = fmt.Fprintf(out, "answer of %s to %s", w.id, id)
}

// arrivals returns the runs so far.
func (w *worker) arrivals() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.runs...)
}
