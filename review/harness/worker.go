//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one execution of a request on a worker, as the worker saw it.
type run struct {
	worker, id, method, target, host, tenant, body string
	lastEvent                                      string
}

// worker is a stand-in for a worker of the platform. It runs each request that expects it
// and answers with a signature.
type worker struct {
	id, service, address, zone string
	born                       int64
	slots                      int
	// weightVersion is the version of the weights, 0 for a service without a model.
	weightVersion int
	// answer writes the response to a request that the worker runs.
	answer func(w http.ResponseWriter, r *http.Request, body []byte)

	server *http.Server
	mu     sync.Mutex
	runs   map[string][]run
	// misdirected counts the requests that the worker turned away with 421.
	misdirected int
}

func (k *worker) start(rec *record) error {
	listener, err := net.Listen("tcp", k.address)
	if err != nil {
		return err
	}
	k.address = listener.Addr().String()
	k.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { k.serve(rec, w, r) })}
	go func() { _ = k.server.Serve(listener) }()
	return nil
}

func (k *worker) stop() { _ = k.server.Close() }

// entry is what the worker writes to the platform's store.
func (k *worker) entry() map[string]any {
	e := map[string]any{
		"service": k.service, "address": k.address, "availabilityZone": k.zone, "version": "v1",
		"capacitySlots": k.slots, "lifecycleState": "available", "coldRemainingMs": 0, "sequenceNumber": 1, "born": k.born,
	}
	if k.weightVersion > 0 {
		e["inferenceStage"] = "colocated"
		e["loadedModels"] = []any{map[string]any{"name": "m", "version": k.weightVersion, "loadedAdapters": []string{}}}
	}
	return e
}

func (k *worker) register(s *store) { s.put("servers/"+k.id, k.entry()) }

func (k *worker) serve(rec *record, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("X-Mulberryfork-Attempt-Id")
	h := w.Header()
	if r.URL.Path == "/healthz" {
		h.Set("X-Mulberryfork-Instance-Id", k.id)
		return
	}
	h.Set("X-Mulberryfork-Attempt-Id", id)
	version := r.Header.Get("X-Mulberryfork-Expected-Version")
	wrongVersion := version != "" && version != strconv.Itoa(k.weightVersion)
	if r.Header.Get("X-Mulberryfork-Expected-Instance") != k.id || wrongVersion {
		k.mu.Lock()
		k.misdirected++
		k.mu.Unlock()
		rec.log("worker %s: 421 to request %s (expected instance %q, expected version %q)", k.id, id, r.Header.Get("X-Mulberryfork-Expected-Instance"), version)
		h.Set("X-Mulberryfork-Instance-Id", k.id)
		h.Set("X-Mulberryfork-Request-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	seen := run{worker: k.id, id: id, method: r.Method, target: r.RequestURI, host: r.Host,
		tenant: r.Header.Get("X-Mulberryfork-Tenant-Name"), body: string(body), lastEvent: r.Header.Get("Last-Event-Id")}
	k.mu.Lock()
	if k.runs == nil {
		k.runs = map[string][]run{}
	}
	k.runs[id] = append(k.runs[id], seen)
	k.mu.Unlock()
	shown := len(body)
	rec.log("worker %s (%s): runs request %s: %s %s, Host %s, path %s, tenant %s, Last-Event-Id %q, body of %d bytes",
		k.id, k.service, id, r.Method, r.RequestURI, r.Host, r.URL.Path, seen.tenant, seen.lastEvent, shown)
	h.Set("X-Mulberryfork-Response-Signature", fmt.Sprintf("sig.%s.%s", k.id, id))
	h.Set("X-Mulberryfork-Server-Load", fmt.Sprintf("1,0,%d", k.slots))
	if k.weightVersion > 0 {
		h.Set("X-Mulberryfork-Weight-Versions", strconv.Itoa(k.weightVersion))
	}
	if k.answer != nil {
		k.answer(w, r, body)
		return
	}
	time.Sleep(30 * time.Millisecond)
	_, _ = io.WriteString(w, "answer to "+id)
}

// ran returns the runs of a request.
func (k *worker) ran(id string) []run {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.runs[id]
}
