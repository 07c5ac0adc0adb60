package edgepool

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/proof/process"
	"github.com/mulberryfork/mulberryfork/proof/schedule"
	"github.com/mulberryfork/mulberryfork/standin/faultproxy"
	"github.com/mulberryfork/mulberryfork/standin/platformcaller"
)

const (
	// stopDeadline is the process's own limit for a graceful shutdown. During the first
	// drainDelay of the shutdown, the process still accepts requests.
	stopDeadline = 8 * time.Second
	drainDelay   = 500 * time.Millisecond
	// exitTimeout bounds the wait for the exit of a process after SIGTERM.
	exitTimeout = stopDeadline + 5*time.Second
	filePerms   = 0o600
	// memoryMB is the memory limit from which an edge derives what connections may hold.
	memoryMB = 192
	// settingsEnv is the environment variable with the path of the settings file.
	settingsEnv = "MULBERRYFORK_BOOT"
)

// Edge is an edge of the pool. Its process may be replaced.
type Edge struct {
	Name, Zone string

	pool         *Pool
	settingsFile string
	storeProxy   *faultproxy.Proxy
	callerProxy  *faultproxy.Proxy
	linkProxy    *faultproxy.Proxy

	// disturbance is held while a drill disturbs the edge.
	disturbance sync.Mutex

	mu        sync.Mutex
	process   *process.Process
	readyAddr string
	// httpAddr is where callers reach the process without the proxy.
	httpAddr string
	// startedAt is the time at which the process was started.
	startedAt time.Duration
	// ending is set while the process is being ended deliberately.
	ending bool
}

// table is a table of a settings file.
type table map[string]any

// createProxies creates the proxies on the links of an edge.
func (e *Edge) createProxies(store string) (err error) {
	p := e.pool
	if e.callerProxy, err = p.proxy(faultproxy.Link{From: endpointCallers, To: e.Name}); err != nil {
		return err
	}
	if e.linkProxy, err = p.proxy(faultproxy.Link{Source: p.sourceEdge, To: e.Name}); err != nil {
		return err
	}
	e.storeProxy, err = p.proxy(faultproxy.Link{From: e.Name, To: endpointStore, Target: store})
	return err
}

func (e *Edge) writeSettings() error {
	var seedAddresses []string
	for _, other := range e.pool.Edges[:seedCount] {
		if other != e {
			seedAddresses = append(seedAddresses, other.linkProxy.Address())
		}
	}
	edge := table{
		"store": e.storeProxy.Address(), "ready": anyPort, "seeds": seedAddresses,
		"revocation":  proof.EdgeRevocationLimit.String(),
		"retry_ratio": proof.EdgeRetryRatio, "retry_extra": proof.EdgeRetryExtra,
		"retry_window":   proof.EdgeRetryWindow.String(),
		"cold_overshoot": proof.EdgeColdOvershoot, "cold_tolerance": proof.EdgeColdTolerance,
		"memory_mb": memoryMB,
	}
	limits := table{}
	if e.pool.options.Open {
		edge["memory_mb"], edge["descriptors"] = openMemoryMB, openDescriptors
		limits["stall_time"] = openStallTime.String()
	}
	text, err := toml.Marshal(table{
		"node": e.Name, "zone": e.Zone,
		"stop_deadline": stopDeadline.String(), "drain_delay": drainDelay.String(),
		"listen": table{"http": anyPort, "link": anyPort, "admin": anyPort},
		"log":    table{"level": "info", "format": "json"},
		"edge":   edge, "limits": limits,
	})
	if err != nil {
		return &process.Error{Name: e.Name, Err: err}
	}
	e.settingsFile = filepath.Join(e.pool.options.Dir, e.Name+".toml")
	if err := os.WriteFile(e.settingsFile, text, filePerms); err != nil {
		return &process.Error{Name: e.Name, Err: err}
	}
	return nil
}

// Start runs the process, waits until it listens and makes the proxies forward to it.
func (e *Edge) Start(ctx context.Context) error {
	startedAt := e.pool.Now()
	started, addresses, err := process.Start(ctx, process.Program{
		Name: e.Name, Path: e.pool.options.Binary, Args: []string{"edge"}, Env: []string{settingsEnv + "=" + e.settingsFile},
		LogFile: e.settingsFile + ".log",
	})
	e.mu.Lock()
	e.process, e.readyAddr, e.httpAddr, e.ending = started, addresses["ready"], addresses["http"], false
	e.startedAt = startedAt
	e.mu.Unlock()
	if err != nil {
		return err
	}
	e.callerProxy.SetTarget(addresses["http"])
	e.linkProxy.SetTarget(addresses["link"])
	go schedule.WatchExit(e.pool.Now, e.pool.UpdateRecord, e.Name, started, func() bool { return e.replaces(started) })
	return nil
}

// markEnding marks that the process is being ended deliberately.
func (e *Edge) markEnding() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ending = true
}

// replaces reports whether a process was ended deliberately or replaced since.
func (e *Edge) replaces(p *process.Process) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ending || e.process != p
}

func (e *Edge) currentProcess() *process.Process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process
}

func (e *Edge) callerAddress() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.httpAddr
}

// receiver returns where callers reach the process, and when it was started.
func (e *Edge) receiver() (address string, startedAt time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.httpAddr, e.startedAt
}

func (e *Edge) readyAddress() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.readyAddr
}

// ID returns the name of the edge.
func (e *Edge) ID() string { return e.Name }

// Signal sends a signal to the process.
func (e *Edge) Signal(s os.Signal) error {
	if err := e.currentProcess().Signal(s); err != nil {
		return &process.Error{Name: e.Name, Err: err}
	}
	return nil
}

// Kill sends SIGKILL to the process and waits for its exit.
func (e *Edge) Kill() error {
	e.markEnding()
	if err := e.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-e.currentProcess().Exited()
	return nil
}

// Restart shuts the process down gracefully, records the shutdown and starts the
// process again.
func (e *Edge) Restart(ctx context.Context) error {
	if err := e.stop(ctx); err != nil {
		return err
	}
	return e.Start(ctx)
}

// stop shuts the process down gracefully and records the shutdown.
func (e *Edge) stop(ctx context.Context) error {
	stop := proof.Shutdown{Node: e.Name, Begin: e.pool.Now()}
	e.markEnding()
	if err := e.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	limit, cancel := context.WithTimeout(ctx, exitTimeout)
	defer cancel()
	select {
	case <-e.currentProcess().Exited():
	case <-limit.Done():
		return &process.Error{Name: e.Name, Log: e.currentProcess().Log(), Err: context.Cause(limit)}
	}
	stop.End, stop.Code = e.pool.Now(), e.currentProcess().ExitCode()
	e.pool.UpdateRecord(func(r *proof.Record) { r.Shutdowns = append(r.Shutdowns, stop) })
	return nil
}

// awaitReady polls the process until it reports that it is ready.
func (e *Edge) awaitReady(ctx context.Context, client *http.Client) error {
	for {
		if platformcaller.Ready(client, e.readyAddress()) {
			return nil
		}
		if err := schedule.Sleep(ctx, settleInterval); err != nil {
			return &NotReadyError{Edge: e.Name, Log: e.currentProcess().Log(), Err: err}
		}
	}
}
