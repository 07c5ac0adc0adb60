//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	memoryEdges = 6
	// memoryLost is the number of machines that lose power at the same moment.
	memoryLost = 4
	// memoryClients is the number of clients of the sheet of bodky-hq, each with one request
	// at a time.
	memoryClients = 71
	memoryLimit   = 206 << 20
	// largestBody is maxBodyBytes of the configuration.
	largestBody = 4194304
	// bodyChunk and bodyPause make a body take as long as on a link of 700 Mbit/s that all
	// clients of a machine share.
	bodyChunk = 64 << 10
	bodyPause = 25 * time.Millisecond
)

// residentBytes returns the memory of a process, 0 if it has ended.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// memoryWatch does what the platform does with a process that exceeds its memory limit: it
// kills the process, and starts it again after a short delay.
type memoryWatch struct {
	system *system
	mu     sync.Mutex
	ends   map[string]int
	peak   map[string]int64
	lost   map[string]bool
}

func (m *memoryWatch) run(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		for _, e := range m.system.edges {
			m.mu.Lock()
			if m.lost[e.name] {
				m.mu.Unlock()
				continue
			}
			used := residentBytes(e.command.Process.Pid)
			m.peak[e.name] = max(m.peak[e.name], used)
			if used > memoryLimit {
				m.ends[e.name]++
				m.system.rec.log("%s uses %d MB, over its limit of %d MB: the platform kills it", e.name, used>>20, memoryLimit>>20)
				e.signal(syscall.SIGKILL)
				<-e.done
				time.Sleep(200 * time.Millisecond)
				if err := m.system.start(e); err != nil {
					m.system.rec.log("%s could not start: %v", e.name, err)
				}
			}
			m.mu.Unlock()
		}
	}
}

// ready returns the edges that the platform sends clients to.
func (m *memoryWatch) ready() []*process {
	var list []*process
	for _, e := range m.system.edges {
		m.mu.Lock()
		lost := m.lost[e.name]
		m.mu.Unlock()
		if !lost && e.isReady() {
			list = append(list, e)
		}
	}
	return list
}

// playMemory has all clients send the longest bodies that the operator allows. Four of six
// machines lose power, and their clients come to the other two.
func playMemory(s *system, trouble bool) (bool, error) {
	s.store.put("op/config", config(7, []map[string]any{route("orders", "/orders/", "non_idempotent", "desk", 8000, 1)}, []map[string]any{serviceEntry("desk")}))
	for i := range 3 {
		k := &worker{id: fmt.Sprintf("i-%d", i+1), service: "desk", address: "127.0.0.1:0", zone: "sk-west-a", slots: 24, born: time.Now().UnixMilli() - 60_000}
		k.answer = func(w http.ResponseWriter, _ *http.Request, _ []byte) {
			time.Sleep(100 * time.Millisecond)
			_, _ = w.Write([]byte("booked"))
		}
		if err := k.start(s.rec); err != nil {
			return false, err
		}
		defer k.stop()
		k.register(s.store)
	}
	if err := s.startEdges(memoryEdges); err != nil {
		return false, err
	}
	watch := &memoryWatch{system: s, ends: map[string]int{}, peak: map[string]int64{}, lost: map[string]bool{}}
	stop := make(chan struct{})
	go watch.run(stop)
	var clients sync.WaitGroup
	var answered, cut, refused atomic.Int64
	body := bytes.Repeat([]byte("x"), largestBody)
	for n := range memoryClients {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				ready := watch.ready()
				if len(ready) == 0 {
					time.Sleep(200 * time.Millisecond)
					continue
				}
				// The platform chooses by a hash of the client.
				a := sendSlowly(s, ready[n%len(ready)], fmt.Sprintf("/orders/%d-%d", n, i), body)
				switch {
				case a.err != nil:
					cut.Add(1)
				case a.status == http.StatusOK:
					answered.Add(1)
				default:
					refused.Add(1)
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	time.Sleep(10 * time.Second)
	if trouble {
		for _, e := range s.edges[:memoryLost] {
			watch.mu.Lock()
			watch.lost[e.name] = true
			watch.mu.Unlock()
			e.signal(syscall.SIGKILL)
		}
		s.rec.log("%d of %d machines lose power", memoryLost, memoryEdges)
	}
	time.Sleep(40 * time.Second)
	close(stop)
	clients.Wait()
	watch.mu.Lock()
	defer watch.mu.Unlock()
	machines, ends := 0, 0
	for _, e := range s.edges {
		s.rec.log("%s: peak of %d MB, ended by itself %d times", e.name, watch.peak[e.name]>>20, watch.ends[e.name])
		ends += watch.ends[e.name]
		if watch.ends[e.name] > 0 {
			machines++
		}
	}
	s.rec.log("%d requests answered, %d refused or failed, %d cut off; %d machines ended by themselves, %d times in all", answered.Load(), refused.Load(), cut.Load(), machines, ends)
	if answered.Load() == 0 {
		return false, errors.New("no request was answered")
	}
	return machines >= 2 && ends >= 3, nil
}

// sendSlowly sends a request whose body comes at the pace of the link.
func sendSlowly(s *system, e *process, target string, body []byte) answer {
	c := &caller{name: "client", address: e.http, rec: s.rec}
	defer c.close()
	id := newID()
	if err := c.connect(); err != nil {
		return answer{id: id, err: err}
	}
	_ = c.conn.SetDeadline(time.Now().Add(9 * time.Second))
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Mulberryfork-Attempt-Id: %s\r\nX-Mulberryfork-Deadline-Remaining: 8000\r\nX-Api-Key: key-one\r\nContent-Length: %d\r\n\r\n",
		target, host, id, len(body))
	for sent := 0; err == nil && sent < len(body); sent += bodyChunk {
		_, err = c.conn.Write(body[sent:min(sent+bodyChunk, len(body))])
		time.Sleep(bodyPause)
	}
	if err != nil {
		s.rec.log("client: request %s to %s: cut off while it was sent (%v)", id, e.name, err)
		return answer{id: id, err: err}
	}
	a := c.receive(id, "POST")
	s.rec.log("client: %s from %s", a, e.name)
	return a
}
