//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run. One without a file drops it.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func openRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) log(format string, args ...any) {
	if r.file == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// system is a small deployment: the platform's store, workers, and edges as processes.
type system struct {
	rec    *record
	store  *store
	server *http.Server
	fields map[string]any
	dir    string
	edges  []*process
	sides  []*process
}

// process is one process of a role of the deploy file.
type process struct {
	role string
	// fields are the settings of this process, beside those of the system.
	fields                            map[string]any
	name, http, ready, control, admin string
	command                           *exec.Cmd
	done                              chan struct{}
	settings                          string
	log                               *os.File
}

// freeAddress returns a loopback address with a free port.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newSystem(rec *record) (*system, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, store: newStore(), dir: dir}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s.store}
	go func() { _ = s.server.Serve(l) }()
	// The figures are those of bodky-hq.
	s.fields = map[string]any{
		"availabilityZone": "sk-west-a",
		"ipAddress":        "127.0.0.1",
		"limits":           map[string]any{"memoryLimitMb": 206, "linkBandwidthMbps": 700.0, "cpuQuota": 0.208},
		"protocolBounds": map[string]any{"gracePeriodS": 8, "revocationMs": 5000, "retryBudgetRatio": 0.2, "retryBudgetExtra": 176,
			"budgetWindowS": 10, "coldOvershoot": 1.5, "coldTolerance": 5},
		"platform": map[string]any{"address": l.Addr().String()},
	}
	return s, nil
}

// config is the operator's configuration with one tenant, key "key-one", at a host.
func config(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "tenant-one", "apiKeys": []string{"key-one"}, "priority": 1}},
	}
}

const host = "desk.example"

func route(name, prefix, kind, service string, timeoutMs, attempts int) map[string]any {
	r := map[string]any{"name": name, "host": host, "prefix": prefix, "kind": kind, "service": service, "timeoutMs": timeoutMs,
		"targetLatencyMs": 150, "priority": 1, "maxAttempts": attempts, "anonymousAccess": false, "sessionAffinity": false, "streamResumption": false}
	if kind == "streaming" {
		r["targetLatencyMs"], r["sessionAffinity"], r["streamResumption"], r["targetGapMs"] = 500, true, true, 120
	}
	return r
}

func serviceEntry(name string) map[string]any {
	return map[string]any{"name": name, "healthCheckPath": "/healthz", "connectionLimit": 96, "protocol": "h1", "transportSecurity": false,
		"coldStartS": 0.0, "coldPerS": 0.0}
}

// startEdges starts edges with the settings template and the command of the deploy file,
// and waits until they are ready.
func (s *system) startEdges(n int) error {
	var seeds []any
	for i := range n {
		e := &process{role: "edge", name: fmt.Sprintf("edge-sk-west-a-%d", i+1), http: freeAddress(), ready: freeAddress(), control: freeAddress(), admin: freeAddress()}
		_, adminPort, _ := net.SplitHostPort(e.admin)
		e.fields = map[string]any{"internalPortRange": []any{json.Number("1"), json.Number(adminPort)},
			"listenAddresses": map[string]any{"frontendAddress": e.http, "ready": e.ready, "controlPlane": e.control}}
		s.edges = append(s.edges, e)
		if i < 3 {
			seeds = append(seeds, e.control)
		}
	}
	s.fields["seedNodes"] = seeds
	for _, e := range s.edges {
		if err := s.start(e); err != nil {
			return err
		}
	}
	for _, e := range s.edges {
		if err := e.waitReady(); err != nil {
			return err
		}
		s.rec.log("%s is ready", e.name)
	}
	// All edges have counted each other by then.
	time.Sleep(time.Second)
	return nil
}

func (s *system) start(e *process) error {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	role := regexp.MustCompile(`(?s)\[roles\.` + e.role + `\](.*?)(\n\[|$)`).FindStringSubmatch(string(deploy))
	if role == nil {
		return errors.New("the deploy file has no role " + e.role)
	}
	value := func(key string) string {
		m := regexp.MustCompile(`(?m)^` + key + `\s*=\s*"([^"]*)"`).FindStringSubmatch(role[1])
		if m == nil {
			return ""
		}
		return m[1]
	}
	template, err := os.ReadFile(value("template"))
	if err != nil {
		return err
	}
	fields := map[string]any{"nodeName": e.name}
	for _, more := range []map[string]any{s.fields, e.fields} {
		for k, v := range more {
			fields[k] = v
		}
	}
	e.settings = filepath.Join(s.dir, e.name+".settings")
	if err := os.WriteFile(e.settings, []byte(render(string(template), fields, fields)), 0o600); err != nil {
		return err
	}
	words := strings.Fields(value("run"))
	if e.log == nil {
		if e.log, err = os.Create(filepath.Join(s.dir, e.name+".log")); err != nil {
			return err
		}
	}
	e.command = exec.Command(words[0], words[1:]...)
	e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MULBERRYFORK_BOOT=" + e.settings}
	e.command.Stdout, e.command.Stderr = e.log, e.log
	if err := e.command.Start(); err != nil {
		return err
	}
	e.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) { _ = c.Wait(); close(done) }(e.command, e.done)
	return nil
}

// ended reports whether the process of the edge has ended.
func (e *process) ended() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

func (e *process) signal(sig syscall.Signal) { _ = e.command.Process.Signal(sig) }

func (e *process) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	r, err := client.Get("http://" + e.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (e *process) waitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		if e.isReady() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s did not become ready", e.name)
}

// stop ends all processes that were started, and removes the temporary folder.
func (s *system) stop() {
	for _, e := range append(s.edges, s.sides...) {
		if e.command != nil && !e.ended() {
			e.signal(syscall.SIGKILL)
			<-e.done
		}
	}
	_ = s.server.Close()
	_ = os.RemoveAll(s.dir)
}

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// render fills in a settings template as the platform does. It knows the forms that the
// templates of the deploy file use.
func render(text string, fields map[string]any, current any) string {
	section := regexp.MustCompile(`(?s)\{\{#([a-zA-Z.]+)\}\}(.*?)\{\{/[a-zA-Z.]+\}\}`)
	text = section.ReplaceAllStringFunc(text, func(m string) string {
		parts := section.FindStringSubmatch(m)
		list, _ := lookUp(fields, parts[1]).([]any)
		var out strings.Builder
		for i, item := range list {
			comma := ","
			if i == len(list)-1 {
				comma = ""
			}
			out.WriteString(render(strings.ReplaceAll(parts[2], "{{,}}", comma), fields, item))
		}
		return out.String()
	})
	return placeholder.ReplaceAllStringFunc(text, func(m string) string {
		name, asJSON := strings.CutSuffix(placeholder.FindStringSubmatch(m)[1], "|json")
		v := current
		if name != "." {
			v = lookUp(fields, name)
		}
		if asJSON {
			data, _ := json.Marshal(v)
			return string(data)
		}
		if v == nil {
			return ""
		}
		return fmt.Sprint(v)
	})
}

func lookUp(fields map[string]any, path string) any {
	var v any = fields
	for _, name := range strings.Split(path, ".") {
		switch t := v.(type) {
		case map[string]any:
			v = t[name]
		case []any:
			var i int
			if _, err := fmt.Sscan(name, &i); err != nil || i >= len(t) {
				return nil
			}
			v = t[i]
		default:
			return nil
		}
	}
	return v
}
