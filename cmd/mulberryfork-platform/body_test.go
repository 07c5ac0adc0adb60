package main

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/daemon"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// bodyFixtureMB is the memory limit that the fixture's settings state, and largeBody the size
// of the bodies that its callers send. Less than a dozen fit.
const (
	bodyFixtureMB = 64
	largeBody     = 2 << 20
)

// newBodyFixture returns an edge with a memory limit and a large maximum body.
func newBodyFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t)
	f.store.Put("op/config", fmt.Appendf(nil, strings.Replace(configFormat, "100000", "4194304", 1), 9, 1))
	text := edgeSettings("bodies", f.storeAddress, "", 200) + fmt.Sprintf("memory_mb = %d\n", bodyFixtureMB)
	f.process = startEdge(t, text)
	f.useProcess(f.process)
	f.awaitView(func(v *api.View) bool { return v.Table != nil && v.Table.Version == 9 && len(v.Instances) == 2 })
	f.awaitReady()
	return f
}

// useProcess sends requests to a process.
func (f *fixture) useProcess(p *daemon.Process) {
	f.t.Helper()
	var err error
	if f.http, err = p.Address(api.ServiceFrontendHTTP); err != nil {
		f.t.Fatal(err)
	}
	if f.ready, err = p.Address(api.ServicePlatformReady); err != nil {
		f.t.Fatal(err)
	}
}

// sendSlowly sends a request whose body comes in parts over a time, and returns the status,
// 0 without an answer.
func (f *fixture) sendSlowly(path, id string, size int, over time.Duration) int {
	const parts = 16
	caller := f.dial()
	caller.writeHead(path, id, 4*time.Second, size)
	part := strings.Repeat("x", size/parts)
	for range parts {
		if _, err := caller.conn.Write([]byte(part)); err != nil {
			break
		}
		time.Sleep(over / parts)
	}
	response, _, err := caller.read()
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// Plays more large bodies at once than a process's memory holds, some of them slowly, and
// guards against a process that reads them all, and whose memory is exceeded: what callers
// get is an answer or a refusal as not run, small requests are served meanwhile, and all is
// served once the load is gone.
func TestLargeBodiesStayWithinMemory(t *testing.T) {
	f := newBodyFixture(t)
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var peak atomic.Uint64
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() {
		tick := time.NewTicker(5 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				runtime.GC()
				var now runtime.MemStats
				runtime.ReadMemStats(&now)
				peak.Store(max(peak.Load(), now.HeapAlloc))
			}
		}
	})
	const callers = 60
	var served, refused, other atomic.Int64
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			switch status := f.sendSlowly("/u/x", fmt.Sprintf("large%d", i), largeBody, 300*time.Millisecond); status {
			case http.StatusOK:
				served.Add(1)
			case http.StatusServiceUnavailable:
				refused.Add(1)
			default:
				other.Add(1)
			}
		})
	}
	time.Sleep(150 * time.Millisecond)
	for range 10 {
		if response, body, err := f.send("/i/x", "key1", "whole x"); err != nil || response.StatusCode != http.StatusOK || body != "answer to x" {
			t.Errorf("a small request meanwhile: %v %q, %v", response, body, err)
		}
	}
	group.Wait()
	close(stop)
	watch.Wait()
	t.Logf("%d served, %d refused, %d without an answer; the heap grew by %d MB", served.Load(), refused.Load(), other.Load(), (peak.Load()-before.HeapAlloc)>>20)
	if served.Load() == 0 || refused.Load() == 0 {
		t.Errorf("%d served, %d refused", served.Load(), refused.Load())
	}
	// Callers, workers and the edge share the heap of the test: the bodies at the edge, those
	// at workers, and what is in transit.
	if grown := int64(peak.Load()) - int64(before.HeapAlloc); grown > bodyFixtureMB<<20 {
		t.Errorf("the heap grew by %d MB", grown>>20)
	}
	for i := range 3 {
		if status := f.sendSlowly("/u/x", fmt.Sprintf("after%d", i), largeBody, 0); status != http.StatusOK {
			t.Errorf("a large body after the load: status %d", status)
		}
	}
}

// Guards against a body that never comes and keeps its share of the memory.
func TestBodyThatDoesNotComeIsRefused(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	caller := f.dial()
	caller.writeHead("/u/x", "never", 30*time.Second, 1000)
	startedAt := time.Now()
	response, _, err := caller.read()
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("%v, %v; want 503", response, err)
	}
	// The route allows 4 s.
	if took := time.Since(startedAt); took > 5*time.Second {
		t.Errorf("refused after %v", took)
	}
}

// Guards against small bodies without a stated length that use up the budget, so that they
// are refused although they hold next to nothing.
func TestSmallChunkedBodiesNeedNoBudget(t *testing.T) {
	f := newFixture(t)
	f.process = startEdge(t, edgeSettings("bodies", f.storeAddress, "", 200)+"memory_mb = 1\n")
	f.useProcess(f.process)
	f.awaitView(func(v *api.View) bool { return v.Table != nil && len(v.Instances) == 2 })
	f.awaitReady()
	callers := make([]*rawCaller, 6)
	for i := range callers {
		callers[i] = f.dial()
		callers[i].write(fmt.Sprintf("POST /u/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key1\r\nX-Mulberryfork-Attempt-Id: chunked%d\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", i))
	}
	// All bodies are under way before the first ends.
	for i, c := range callers {
		c.write("2\r\n x\r\n0\r\n\r\n")
		if response, body, err := c.read(); err != nil || response.StatusCode != http.StatusOK || body != "answer to x" {
			t.Errorf("caller %d: %v %q, %v", i, response, body, err)
		}
	}
}

// Guards against bytes of the budget that are granted to a caller who has gone, and never
// returned.
func TestCanceledBodyKeepsNoBudget(t *testing.T) {
	f := newFixture(t)
	f.process = startEdge(t, edgeSettings("bodies", f.storeAddress, "", 200)+"memory_mb = 4\n")
	budget, err := kernel.Find[api.Connections](f.process.Host, api.ServiceConnections)
	if err != nil {
		t.Fatal(err)
	}
	const half = 1 << 19
	for range 200 {
		ctx, cancel := context.WithCancel(t.Context())
		go cancel()
		if budget.TakeBody(ctx, "m", half) == nil {
			budget.ReturnBody(ctx, "m", half)
		}
	}
	if failure := budget.TakeBody(t.Context(), "m", half); failure != nil {
		t.Errorf("refused after all bodies have ended: %v", failure)
	}
	if failure := budget.TakeBody(t.Context(), "n", half/2); failure != nil {
		t.Errorf("a second body was refused: %v", failure)
	}
}

// Guards against a refused head that the published limits allow, and against one without a
// bound.
func TestHeaderWithinPublishedLimitIsServed(t *testing.T) {
	f := newFixture(t)
	send := func(id string, bytes int) int {
		caller := f.dial()
		caller.write(fmt.Sprintf("POST /u/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key1\r\nX-Mulberryfork-Attempt-Id: %s\r\nX-Filler: %s\r\nContent-Length: 5\r\n\r\nwhole", id, strings.Repeat("x", bytes)))
		response, _, err := caller.read()
		if err != nil {
			return 0
		}
		return response.StatusCode
	}
	const long = 100 << 10
	if status := send("unpublished", long); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d for a head of %d bytes without a published limit", status, long)
	}
	text := strings.Replace(configFormat, `"maxBodyBytes":100000`, `"maxBodyBytes":100000,"maxHeaderBytes":131072`, 1)
	f.store.Put("op/config", fmt.Appendf(nil, text, 2, 1))
	f.awaitView(func(v *api.View) bool { return v.Table.Version == 2 })
	if status := send("allowed", long); status != http.StatusOK {
		t.Errorf("status %d for a head of %d bytes, of 128 KiB allowed", status, long)
	}
	if status := send("beyond", 2*long); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d for a head of %d bytes, of 128 KiB allowed", status, 2*long)
	}
	const unread = 1<<20 + 64<<10
	if status := send("unread", unread); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d for a head of %d bytes, more than an edge reads", status, unread)
	}
	f.store.Put("op/config", fmt.Appendf(nil, strings.Replace(text, "131072", "16384", 1), 3, 1))
	f.awaitView(func(v *api.View) bool { return v.Table.Version == 3 })
	if status := send("beyond less", 32<<10); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d for a head of %d bytes, of 16 KiB allowed", status, 32<<10)
	}
}
