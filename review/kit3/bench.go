package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/mulberryfork/mulberryfork/standin/platformstore"
)

// bench holds the processes and stand-ins of one case, and the record of what was sent, answered
// and run.
type bench struct {
	program, dir string
	begin        time.Time
	store        *platformstore.Store
	// memoryMB is memoryLimitMb of an edge.
	memoryMB int

	mu      sync.Mutex
	lines   []string
	closers []func()
}

// now returns the time since the start of the case.
func (b *bench) now() time.Duration { return time.Since(b.begin) }

// note adds a line to the record.
func (b *bench) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, fmt.Sprintf("%8.3f s  ", time.Since(b.begin).Seconds())+fmt.Sprintf(format, args...))
}

func (b *bench) last() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines[len(b.lines)-1]
}

func (b *bench) writeRecord(path string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(b.lines, "\n")+"\n"), 0o600)
}

func (b *bench) onClose(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closers = append(b.closers, f)
}

// close ends all processes and stand-ins, the last ones first.
func (b *bench) close() {
	b.mu.Lock()
	closers := b.closers
	b.closers = nil
	b.mu.Unlock()
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
}

// serve serves a stand-in on a free port of a loopback address.
func (b *bench) serve(h http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	b.onClose(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// startStore starts the stand-in for the platform's store.
func (b *bench) startStore() (address string, err error) {
	b.store = platformstore.New()
	return b.serve(b.store)
}

// putJSON writes an entry of the store, which acknowledges it when it returns.
func (b *bench) putJSON(key string, value map[string]any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	b.store.Put(key, data)
}

// serverEntry returns the entry with which a worker registers itself.
func serverEntry(service, address, zone string, slots int) map[string]any {
	return map[string]any{
		"service": service, "address": address, "availabilityZone": zone, "version": "v1",
		"capacitySlots": slots, "lifecycleState": "available", "coldRemainingMs": 0,
		"sequenceNumber": 1, "born": time.Now().UnixMilli(),
	}
}

// edgeTemplate is deploy/edge.toml.tmpl as the platform fills it in for an edge of
// sites/bodky-hq.toml, with loopback addresses.
const edgeTemplate = `node = "edge-sk-west-a-1"
zone = "sk-west-a"
stop_deadline = "8s"
drain_delay = "2.5s"

[listen]
http = %q
link = %q
admin = %q

[log]
level = "info"
format = "json"

[edge]
seeds = [ %[2]q ]
store = %[4]q
ready = %[5]q
revocation = "5000ms"
retry_ratio = 0.2
retry_extra = 176
retry_window = "10s"
cold_overshoot = 1.5
cold_tolerance = 5
memory_mb = %[7]d
descriptors = 2870
side_port = %[6]d
`

// freePorts returns addresses on loopback that were free just now.
func freePorts(n int) (addresses []string, err error) {
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// edge is a running edge.
type edge struct {
	http, ready string
	cmd         *exec.Cmd
	log         bytes.Buffer
}

// startEdge starts an edge and waits until it reports that it is ready.
func (b *bench) startEdge(store string) (*edge, error) {
	ports, err := freePorts(5)
	if err != nil {
		return nil, err
	}
	_, sidePort, err := net.SplitHostPort(ports[4])
	if err != nil {
		return nil, err
	}
	var side int
	if _, err := fmt.Sscanf(sidePort, "%d", &side); err != nil {
		return nil, err
	}
	settings := filepath.Join(b.dir, "edge.toml")
	text := fmt.Sprintf(edgeTemplate, ports[0], ports[1], ports[2], store, ports[3], side, b.memoryMB)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	e := &edge{http: ports[0], ready: ports[3]}
	e.cmd = exec.Command(b.program, "edge")
	e.cmd.Env = append(os.Environ(), "MULBERRYFORK_BOOT="+settings)
	e.cmd.Stderr = &e.log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return nil, err
	}
	b.onClose(func() {
		_ = e.cmd.Process.Kill()
		_ = e.cmd.Wait()
	})
	return e, b.awaitReady(e)
}

// awaitReady waits until the edge answers the platform's readiness check with 200.
func (b *bench) awaitReady(e *edge) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + e.ready + "/-/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			b.note("edge ready")
			return nil
		}
	}
	return fmt.Errorf("the edge did not become ready: %s", e.log.String())
}
