//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

func init() { cases["extra"] = playExtra }

const (
	// extraShare is the share of the answers that six ranks in ten write twice, lateShare that
	// of the orders that get no answer.
	extraShare = 0.03
	lateShare  = 0.35
)

// extraServer serves a rank to other machines. A share of its answers to orders is written
// once more, late: at the point where the next answer on that connection is expected. A
// share of the orders gets no answer and is carried out 2 to 12 s later.
type extraServer struct {
	f       *fleet
	r       *rank
	handler http.Handler

	mu sync.Mutex
	// extra is the share of the answers to orders that are written twice, late that of the
	// orders that get no answer.
	extra, late float64
}

func (x *extraServer) shares() (extra, late float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.extra, x.late
}

func (x *extraServer) set(extra, late float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.extra, x.late = extra, late
}

func (x *extraServer) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go x.serveConn(conn)
	}
}

func (x *extraServer) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var pending []byte
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body := new(bytes.Buffer)
		_, _ = body.ReadFrom(q.Body)
		q.Body = http.NoBody
		q, _ = http.NewRequest(q.Method, "http://rank"+q.RequestURI, body)
		extra, late := x.shares()
		isOrder := q.Method == http.MethodPost
		if pending != nil {
			x.f.rec.log("rank %d: writes an earlier answer once more, before that to %s %s", x.r.index, q.Method, q.URL.Path)
			_, _ = conn.Write(pending)
			pending = nil
		}
		if isOrder && rand.Float64() < late {
			delay := 2*time.Second + time.Duration(rand.Float64()*float64(10*time.Second))
			x.f.rec.log("rank %d: leaves an order unanswered: %s", x.r.index, body.String()[:min(90, body.Len())])
			time.AfterFunc(delay, func() { x.handler.ServeHTTP(httptest.NewRecorder(), q) })
			continue
		}
		w := httptest.NewRecorder()
		x.handler.ServeHTTP(w, q)
		var out bytes.Buffer
		fmt.Fprintf(&out, "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", w.Code, w.Body.Len(), w.Body.Bytes())
		if _, err := conn.Write(out.Bytes()); err != nil {
			return
		}
		if isOrder && rand.Float64() < extra {
			pending = out.Bytes()
		}
	}
}

// playExtra has ranks write some answers to orders twice, and leave some orders unanswered.
func playExtra(s *system, trouble bool) (bool, error) {
	seed := rand.Uint64()
	s.rec.log("seed %d", seed)
	var servers []*extraServer
	f, err := startFleetWith(s, 12, seed, func(f *fleet, r *rank) (string, error) {
		x := &extraServer{f: f, r: r, handler: f.serve(r, false)}
		servers = append(servers, x)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		f.listeners = append(f.listeners, l)
		go x.serve(l)
		return l.Addr().String(), nil
	})
	defer f.stop()
	if err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	if f.changes() == 0 {
		return false, errors.New("no map was changed at the start")
	}
	for end := time.Now().Add(95 * time.Second); time.Now().Before(end) && f.brokenBy() == ""; {
		for i, x := range servers {
			switch {
			case trouble && i < 6*len(servers)/10:
				x.set(extraShare, lateShare)
			case trouble:
				x.set(0, lateShare)
			}
		}
		s.rec.log("disruption on: %v", trouble)
		for range 4 {
			f.shiftDemand()
			time.Sleep(1250 * time.Millisecond)
		}
		for _, x := range servers {
			x.set(0, 0)
		}
		s.rec.log("disruption off")
		time.Sleep(time.Second)
	}
	s.rec.log("%d changes of the map; %s", f.changes(), f.brokenBy())
	return f.brokenBy() != "", nil
}
