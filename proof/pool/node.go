package pool

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/devcert"
	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/standin/faultproxy"
)

const (
	anyPort = "127.0.0.1:0"
	// stopDeadline bounds a graceful shutdown of a process.
	stopDeadline = 20 * time.Second
	// exitWait bounds the wait for a process that was told to end.
	exitWait  = stopDeadline + 5*time.Second
	filePerms = 0o600
	logLines  = 200
)

// Node is the place of one router or agent. Its process may be replaced.
type Node struct {
	Name, Zone, Role string
	// Upstream and Side name the upstream of an agent and its side in the network.
	Upstream, Side string

	pool     *Pool
	settings string
	// inbound are the proxies before the process, by the name of the listener.
	inbound map[string]*faultproxy.Proxy

	mu       sync.Mutex
	cmd      *exec.Cmd
	life     int
	admin    string
	stopping bool
	ended    chan struct{}
	log      []string
}

// ProcessError reports a process that could not be started or stopped.
type ProcessError struct {
	Node string
	Log  []string
	Err  error
}

func (e *ProcessError) Error() string {
	text := e.Node + ": " + e.Err.Error()
	for _, line := range e.Log {
		text += "\n" + line
	}
	return text
}

// Unwrap returns the cause.
func (e *ProcessError) Unwrap() error { return e.Err }

// EndedError reports a process that ended before it was asked to.
type EndedError struct{}

func (*EndedError) Error() string { return "the process ended" }

// writeSettings puts settings and certificates into the folder of the pool.
func (n *Node) writeSettings(s api.Settings, a *devcert.Authority) error {
	name := n.Name
	if n.Upstream != "" {
		name = n.Upstream
	}
	pair, err := a.Issue(n.Role, name)
	if err != nil {
		return err
	}
	cert, key, err := devcert.PairPEM(pair)
	if err != nil {
		return err
	}
	path := func(kind string) string { return filepath.Join(n.pool.options.Dir, n.Name+kind) }
	s.TLS = api.TLS{Cert: path(".pem"), Key: path(".key"), CA: path(".ca")}
	text, err := encodeSettings(s)
	if err != nil {
		return err
	}
	n.settings = path(".toml")
	for file, data := range map[string][]byte{n.settings: text, s.TLS.Cert: cert, s.TLS.Key: key, s.TLS.CA: a.PEM()} {
		if err := os.WriteFile(file, data, filePerms); err != nil {
			return &ProcessError{Node: n.Name, Err: err}
		}
	}
	return nil
}

// encodeSettings leaves out what is not set, since a key that a role does not
// have is an error.
func encodeSettings(s api.Settings) ([]byte, error) {
	full, err := toml.Marshal(s)
	if err != nil {
		return nil, &ProcessError{Node: s.Node, Err: err}
	}
	var t table
	if err := toml.Unmarshal(full, &t); err != nil {
		return nil, &ProcessError{Node: s.Node, Err: err}
	}
	prune(t)
	return toml.Marshal(t)
}

func prune(t table) {
	for key, v := range t {
		switch v := v.(type) {
		case table:
			prune(v)
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

// Start runs the process and waits until it listens.
func (n *Node) Start(ctx context.Context) error {
	cmd := exec.Command(n.pool.options.Binary, n.Role, "--log-json", n.settings)
	// The process must not outlive a test that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	// Lines come on standard output, errors of the command on standard error.
	output, input, err := os.Pipe()
	if err != nil {
		return &ProcessError{Node: n.Name, Err: err}
	}
	cmd.Stdout, cmd.Stderr = input, input
	err = cmd.Start()
	_ = input.Close()
	if err != nil {
		_ = output.Close()
		return &ProcessError{Node: n.Name, Err: err}
	}
	ended, listening := make(chan struct{}), make(chan map[string]string, 1)
	n.mu.Lock()
	n.cmd, n.ended, n.admin, n.stopping = cmd, ended, "", false
	n.mu.Unlock()
	go func() {
		n.read(output, listening)
		_ = output.Close()
		_ = cmd.Wait()
		close(ended)
	}()
	select {
	case addresses := <-listening:
		n.listens(addresses)
		return nil
	case <-ended:
		return &ProcessError{Node: n.Name, Log: n.Log(), Err: &EndedError{}}
	case <-ctx.Done():
		return &ProcessError{Node: n.Name, Log: n.Log(), Err: context.Cause(ctx)}
	}
}

func (n *Node) listens(addresses map[string]string) {
	for name, proxy := range n.inbound {
		if address, ok := addresses[name]; ok {
			proxy.SetTarget(address)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.admin = addresses["admin"]
}

// read keeps the last lines of the log and finds the one with the addresses.
func (n *Node) read(r io.Reader, listening chan<- map[string]string) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		n.mu.Lock()
		n.log = append(n.log, lines.Text())
		n.log = n.log[max(len(n.log)-logLines, 0):]
		n.mu.Unlock()
		var line map[string]string
		if json.Unmarshal(lines.Bytes(), &line) == nil && line["msg"] == "listening" {
			listening <- line
		}
	}
	_, _ = io.Copy(io.Discard, r)
}

// Log returns the last lines that the process wrote.
func (n *Node) Log() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.log...)
}

// running is a view of the present process.
type running struct {
	pid, life int
	admin     string
	stopping  bool
	ended     chan struct{}
	process   *os.Process
}

func (n *Node) now() running {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return running{}
	}
	return running{n.cmd.Process.Pid, n.life, n.admin, n.stopping, n.ended, n.cmd.Process}
}

// Signal sends a signal to the process.
func (n *Node) Signal(s os.Signal) error {
	if err := n.now().process.Signal(s); err != nil {
		return &ProcessError{Node: n.Name, Err: err}
	}
	return nil
}

// Kill ends the process without warning.
func (n *Node) Kill() error {
	n.leave()
	if err := n.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-n.now().ended
	return nil
}

// leave marks the end of a life; callers choose other routers.
func (n *Node) leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopping = true
	n.admin = ""
	n.life++
}

// Stop ends the process by a planned stop and records how it went.
func (n *Node) Stop(ctx context.Context) error {
	stop := proof.Stop{Node: n.Name, Upstream: n.Upstream, Begin: n.pool.Now()}
	n.leave()
	if err := n.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	limit, cancel := context.WithTimeout(ctx, exitWait)
	defer cancel()
	select {
	case <-n.now().ended:
	case <-limit.Done():
		return &ProcessError{Node: n.Name, Log: n.Log(), Err: context.Cause(limit)}
	}
	stop.End, stop.Code = n.pool.Now(), n.cmd.ProcessState.ExitCode()
	n.pool.Recorder.Add(func(r *proof.Record) { r.Stops = append(r.Stops, stop) })
	return nil
}

// end makes sure that the process is gone.
func (n *Node) end() {
	now := n.now()
	if now.process == nil {
		return
	}
	select {
	case <-now.ended:
		return
	default:
	}
	if err := now.process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return
	}
	<-now.ended
}
