package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/standin/crowd"
	"github.com/mulberryfork/mulberryfork/standin/plainservice"
	"github.com/mulberryfork/mulberryfork/wire"
)

const (
	// crowdMemoryMB is the memory limit in the settings of the processes.
	crowdMemoryMB = 64
	// crowdDescriptors is the limit of descriptors of the processes, of which
	// reservedDescriptors are for files.
	crowdDescriptors    = 800
	reservedDescriptors = 200
	crowdBodyBytes      = 1 << 20
	crowdToken          = "crowd"
	// crowdStallTime is less than by default, so that the tests are short.
	crowdStallTime = "500ms"
	// crowdWait bounds the time until an ordinary request is answered.
	crowdWait = 10 * time.Second
)

// crowdPool is a router and an agent that run as processes of their own.
type crowdPool struct{ router, agent *crowd.Process }

func startCrowdPool(t *testing.T, program string) *crowdPool {
	t.Helper()
	service := httptest.NewServer(plainservice.New(plainservice.Options{Clock: kernel.BootClock{}}))
	t.Cleanup(service.Close)
	return startCrowdPoolWith(t, program, service.URL)
}

// startCrowdPoolWith starts a router and an agent with the upstream at url.
func startCrowdPoolWith(t *testing.T, program, url string) *crowdPool {
	t.Helper()
	agentAddress, folder := freeAddress(t), t.TempDir()
	hash := sha256.Sum256([]byte(crowdToken))
	write(t, filepath.Join(folder, "10-pool.toml"), fmt.Sprintf(`[zones.z]
region = "home"
state = "in"
[members.m]
share = 1
token_hashes = [%q]
[services.booking]
non_idempotent = ["POST /visits"]
idempotent = ["GET /schedule"]
[upstreams.booking-1]
zone = "z"
vm = "agent"
agent = %q
kind = "plain"
service = "booking"
max_requests = 100
cold_requests = 100
`, hex.EncodeToString(hash[:]), agentAddress))
	start := func(role, text string) *crowd.Process {
		path := filepath.Join(t.TempDir(), role+".toml")
		write(t, path, text+fmt.Sprintf(`zone = "z"
[config]
folder = %q
[tls]
plain = true
[limits]
body_bytes = %d
memory_mb = %d
stall_time = %q
[log]
format = "json"
`, folder, crowdBodyBytes, crowdMemoryMB, crowdStallTime))
		p, err := crowd.Start(program, crowdDescriptors, role, path)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Kill)
		return p
	}
	pool := &crowdPool{}
	pool.agent = start("agent", fmt.Sprintf(`node = "agent"
upstream = "booking-1"
listen.link = %q
listen.admin = "127.0.0.1:0"
engine.url = %q
`, agentAddress, url))
	pool.router = start("router", `node = "router"
listen.http = "127.0.0.1:0"
listen.link = "127.0.0.1:0"
listen.admin = "127.0.0.1:0"
`)
	if !pool.answers() {
		t.Fatalf("the pool does not serve: %s %s", pool.router.Output(), pool.agent.Output())
	}
	return pool
}

// freeAddress returns an address at which no one listens. The configuration names the address
// of an agent before the agent is started.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// answers reports whether an ordinary request through router and agent is answered, and the
// admin listeners of both answer.
func (p *crowdPool) answers() bool {
	deadline := time.Now().Add(crowdWait)
	for time.Now().Before(deadline) {
		if get("http://"+p.router.Addresses["http"]+"/services/booking/schedule") &&
			get("http://"+p.router.Addresses["admin"]+"/debug/vars") &&
			get("http://"+p.agent.Addresses["admin"]+"/debug/vars") {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

func get(url string) bool {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	r.Header.Set("Authorization", "Bearer "+crowdToken)
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// Guards against connections that make a router or an agent exceed its memory or use up its
// descriptors, or that keep ordinary callers out.
func TestCrowdAtRouterAndAgent(t *testing.T) {
	program, done, err := crowd.BuildAlone(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(done)
	const callerHead = "Host: h\r\nAuthorization: Bearer " + crowdToken + "\r\n"
	target := crowd.Target{Path: "/services/booking/visits", Head: callerHead, BodyBytes: crowdBodyBytes}
	admin := crowd.Part(crowd.Connections("/debug/vars", "Host: h\r\n"), 2)
	router := func(p *crowdPool) *crowd.Process { return p.router }
	agent := func(p *crowdPool) *crowd.Process { return p.agent }
	for _, c := range []struct {
		name, listener string
		process        func(*crowdPool) *crowd.Process
		patterns       []crowd.Pattern
	}{
		{"router bodies", "http", router, crowd.Bodies(target)},
		{"router connections", "http", router, crowd.Connections("/v1/models", callerHead)},
		{"router link", "link", router, crowd.Frames(wire.MaxMessageBytes)},
		{"router admin", "admin", router, admin},
		{"agent link", "link", agent, crowd.Frames(wire.MaxMessageBytes)},
		{"agent admin", "admin", agent, admin},
	} {
		t.Run(c.name, func(t *testing.T) {
			pool := startCrowdPool(t, program)
			p := c.process(pool)
			clients := crowd.Gather(p.Addresses[c.listener], c.patterns...)
			defer clients.Leave()
			served := pool.answers()
			memory, open := p.PeakMemory(), p.PeakDescriptors()
			t.Logf("peak: %d MB resident, %d descriptors", memory>>20, open)
			if !p.Alive() {
				t.Fatalf("the process has exited: %s", p.Output())
			}
			if memory > crowdMemoryMB<<20 {
				t.Errorf("%d MB resident, want at most %d", memory>>20, crowdMemoryMB)
			}
			if open > crowdDescriptors-reservedDescriptors {
				t.Errorf("%d open descriptors, want at most %d", open, crowdDescriptors-reservedDescriptors)
			}
			if !served {
				t.Error("an ordinary request got no answer")
			}
		})
	}
}
