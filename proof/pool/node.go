package pool

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/devcert"
	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/proof/process"
	"github.com/mulberryfork/mulberryfork/proof/schedule"
	"github.com/mulberryfork/mulberryfork/standin/faultproxy"
)

const (
	anyPort = "127.0.0.1:0"
	// stopDeadline is the process's own limit for a graceful shutdown.
	stopDeadline = 20 * time.Second
	// exitTimeout bounds the wait for the exit of a process after SIGTERM.
	exitTimeout = stopDeadline + 5*time.Second
	filePerms   = 0o600
)

// Node is a router or an agent. Its process may be replaced.
type Node struct {
	Name, Zone, Role string
	// Upstream is the name of an agent's upstream, Endpoint the name of the network
	// endpoint of that upstream. Both are empty for a router.
	Upstream, Endpoint string

	pool         *Pool
	settingsFile string
	// inbound holds the proxies in front of the process by the name of its listener.
	inbound map[string]*faultproxy.Proxy

	mu           sync.Mutex
	process      *process.Process
	incarnation  int
	adminAddress string
	stopping     bool
}

// writeSettings writes the settings and certificates to the directory of the pool.
func (n *Node) writeSettings(s api.Settings, a *devcert.Authority) error {
	name := n.Name
	if n.Upstream != "" {
		name = n.Upstream
	}
	pair, err := a.Issue(n.Role, name)
	if err != nil {
		return err
	}
	cert, key, err := devcert.EncodePair(pair)
	if err != nil {
		return err
	}
	path := func(kind string) string { return filepath.Join(n.pool.options.Dir, n.Name+kind) }
	s.TLS = api.TLS{Cert: path(".pem"), Key: path(".key"), CA: path(".ca")}
	text, err := encodeSettings(s)
	if err != nil {
		return err
	}
	n.settingsFile = path(".toml")
	for file, data := range map[string][]byte{n.settingsFile: text, s.TLS.Cert: cert, s.TLS.Key: key, s.TLS.CA: a.PEM()} {
		if err := os.WriteFile(file, data, filePerms); err != nil {
			return &process.Error{Name: n.Name, Err: err}
		}
	}
	return nil
}

// encodeSettings encodes settings without their empty values, since the program
// rejects keys that its role does not have even if they are empty.
func encodeSettings(s api.Settings) ([]byte, error) {
	full, err := toml.Marshal(s)
	if err != nil {
		return nil, &process.Error{Name: s.Node, Err: err}
	}
	var t table
	if err := toml.Unmarshal(full, &t); err != nil {
		return nil, &process.Error{Name: s.Node, Err: err}
	}
	prune(t)
	return toml.Marshal(t)
}

// prune removes empty values from a table and the tables in it.
func prune(t table) {
	for key, v := range t {
		switch v := v.(type) {
		case table:
			prune(v)
			if len(v) == 0 {
				delete(t, key)
			}
		case []any:
			if len(v) == 0 {
				delete(t, key)
			}
		case string:
			if v == "" || v == "0s" {
				delete(t, key)
			}
		case int64:
			if v == 0 {
				delete(t, key)
			}
		case float64:
			if v == 0 {
				delete(t, key)
			}
		case bool:
			if !v {
				delete(t, key)
			}
		}
	}
}

// Start runs the process, waits until it listens and makes the proxies forward to it.
func (n *Node) Start(ctx context.Context) error {
	started, addresses, err := process.Start(ctx, process.Program{
		Name: n.Name, Path: n.pool.options.Binary, Args: []string{n.Role, "--log-json", n.settingsFile},
		LogFile: n.settingsFile + ".log",
	})
	n.mu.Lock()
	n.process, n.adminAddress, n.stopping = started, "", false
	n.mu.Unlock()
	if err != nil {
		return err
	}
	n.setAddresses(addresses)
	current := n.snapshot()
	go schedule.WatchExit(n.pool.Now, n.pool.UpdateRecord, n.Name, started, func() bool {
		return n.snapshot().incarnation != current.incarnation
	})
	return nil
}

func (n *Node) setAddresses(addresses map[string]string) {
	for name, proxy := range n.inbound {
		if address, ok := addresses[name]; ok {
			proxy.SetTarget(address)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.adminAddress = addresses["admin"]
}

// Log returns the last lines of the process's output.
func (n *Node) Log() []string {
	if s := n.snapshot(); s.process != nil {
		return s.process.Log()
	}
	return nil
}

// nodeSnapshot is a copy of the state of the current process.
type nodeSnapshot struct {
	incarnation  int
	adminAddress string
	stopping     bool
	process      *process.Process
}

func (n *Node) snapshot() nodeSnapshot {
	n.mu.Lock()
	defer n.mu.Unlock()
	return nodeSnapshot{n.incarnation, n.adminAddress, n.stopping, n.process}
}

// ID returns the name of the VM.
func (n *Node) ID() string { return n.Name }

// Signal sends a signal to the process.
func (n *Node) Signal(s os.Signal) error {
	if err := n.snapshot().process.Signal(s); err != nil {
		return &process.Error{Name: n.Name, Err: err}
	}
	return nil
}

// Kill sends SIGKILL to the process and waits for its exit.
func (n *Node) Kill() error {
	n.markStopping()
	if err := n.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-n.snapshot().process.Exited()
	return nil
}

// markStopping ends the current incarnation, so that callers choose other routers and
// polls skip the process.
func (n *Node) markStopping() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopping = true
	n.adminAddress = ""
	n.incarnation++
}

// Stop shuts the process down gracefully with SIGTERM, waits for its exit and records
// the shutdown.
func (n *Node) Stop(ctx context.Context) error {
	stop := proof.Shutdown{Node: n.Name, Upstream: n.Upstream, Begin: n.pool.Now()}
	n.markStopping()
	if err := n.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	limit, cancel := context.WithTimeout(ctx, exitTimeout)
	defer cancel()
	select {
	case <-n.snapshot().process.Exited():
	case <-limit.Done():
		return &process.Error{Name: n.Name, Log: n.Log(), Err: context.Cause(limit)}
	}
	stop.End, stop.Code = n.pool.Now(), n.snapshot().process.ExitCode()
	n.pool.Recorder.Update(func(r *proof.Record) { r.Shutdowns = append(r.Shutdowns, stop) })
	return nil
}

// terminate kills the process if it is still running, and waits for its exit.
func (n *Node) terminate() {
	n.markStopping()
	if s := n.snapshot(); s.process != nil {
		s.process.Kill()
	}
}
