package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// contactWindow and drainTimeout are contactWindowMs and drainTimeoutMs of the small sites.
	contactWindow = 3 * time.Second
	drainTimeout  = 2 * time.Second
	// drainRounds is the number of workers that leave, one after the other.
	drainRounds = 5
	// steadyTime is the time without a disruption before each, removalDelay that from the
	// disruption to the removal of the worker's entry, and watchTime that in which the rule is
	// checked after it.
	steadyTime   = 4 * time.Second
	removalDelay = 150 * time.Millisecond
	watchTime    = 5500 * time.Millisecond
)

// proxy passes connections on, until it makes those that are open silent for good. New ones
// work.
type proxy struct {
	target string
	mu     sync.Mutex
	open   map[*silenceable]bool
}

// silenceable is a connection through the proxy.
type silenceable struct {
	mu     sync.Mutex
	silent bool
}

// pass copies bytes until the connection ends. It drops them while the connection is silent.
func (s *silenceable) pass(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if n > 0 && !silent {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !silent {
				_ = to.Close()
			}
			return
		}
	}
}

// start starts the proxy.
func (p *proxy) start(b *bench) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	p.open = make(map[*silenceable]bool)
	b.onClose(func() { _ = listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", p.target)
			if err != nil {
				_ = client.Close()
				continue
			}
			b.onClose(func() {
				_ = client.Close()
				_ = server.Close()
			})
			s := &silenceable{}
			p.mu.Lock()
			p.open[s] = true
			p.mu.Unlock()
			go s.pass(server, client)
			go s.pass(client, server)
		}
	}()
	return listener.Addr().String(), nil
}

// silence makes all open connections silent.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.open {
		s.mu.Lock()
		s.silent = true
		s.mu.Unlock()
	}
}

// playDrain removes the entries of workers that leave without a report, while the connection of
// the edge to the store goes silent. A worker serves for as long as the case lasts.
func playDrain(b *bench, trouble bool) ([]string, error) {
	store, err := b.startStore()
	if err != nil {
		return nil, err
	}
	way := &proxy{target: store}
	storeWay, err := way.start(b)
	if err != nil {
		return nil, err
	}
	b.putJSON("op/config", deskConfig())
	if _, err := b.addWorker("i-stays"); err != nil {
		return nil, err
	}
	e, err := b.startEdge(storeWay)
	if err != nil {
		return nil, err
	}
	clients := &orders{bench: b, key: apiKey, prefix: "order", sentAt: map[string]time.Duration{}}
	stop := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() { clients.run(e.http, stop) })
	var broken []string
	for round := range drainRounds {
		found, err := b.drainRound(round, trouble, way, clients)
		if err != nil {
			return nil, err
		}
		broken = append(broken, found...)
	}
	close(stop)
	done.Wait()
	b.note("clients sent %d orders, %d were answered 200", clients.sent, clients.served)
	return broken, nil
}

// addWorker starts a worker and registers it.
func (b *bench) addWorker(id string) (*worker, error) {
	w := &worker{bench: b, id: id, work: 10 * time.Millisecond}
	address, err := b.serve(w)
	if err == nil {
		b.putJSON("servers/"+id, serverEntry("xano55b", address, "sk-west-a", 6))
	}
	return w, err
}

// drainRound lets one worker come and leave. It returns the requests that reached it too late.
func (b *bench) drainRound(round int, trouble bool, way *proxy, clients *orders) (broken []string, err error) {
	w, err := b.addWorker(fmt.Sprintf("i-leaves-%d", round))
	if err != nil {
		return nil, err
	}
	// The rounds meet the watches of the edge at different times.
	time.Sleep(steadyTime + time.Duration(round)*130*time.Millisecond)
	inTouchFrom := time.Duration(0)
	if trouble {
		way.silence()
		inTouchFrom = b.now() + contactWindow
		b.note("round %d: the open connection to the store goes silent; the edge is in touch again at %.3f s", round, inTouchFrom.Seconds())
	}
	time.Sleep(removalDelay)
	before := len(w.arrivals())
	b.store.Delete("servers/" + w.id)
	removedAt := b.now()
	b.note("round %d: the store has removed %s, which got %d orders; none may reach it after %.3f s", round, w.id, before, (removedAt + drainTimeout).Seconds())
	time.Sleep(watchTime)
	all := w.arrivals()
	if len(all) > 0 {
		b.note("round %d: the last order reached %s %.3f s after its removal", round, w.id, (all[len(all)-1].at - removedAt).Seconds())
	}
	for _, a := range all {
		sentAt := clients.when(a.id)
		if a.at > removedAt+drainTimeout && sentAt >= inTouchFrom {
			broken = append(broken, fmt.Sprintf("DRAIN: %s, sent at %.3f s, reached %s at %.3f s, %.3f s after the worker was gone", a.id, sentAt.Seconds(), w.id, a.at.Seconds(), (a.at-removedAt).Seconds()))
		}
	}
	return broken, nil
}
