package main

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// socketLimit is what an edge of bodky-hq may open: 2,870 descriptors, of which 200 are
	// reserved for files.
	socketLimit = 2670
	// ownSockets is what the stand-ins open beside the connections of the stoppers.
	ownSockets = 500
	// stoppers is the number of clients that stop short of the end of a body and stay,
	// stopperGap the time between two of them, stopperBytes the size of their bodies.
	stoppers     = 6000
	stopperGap   = 2 * time.Millisecond
	stopperBytes = 100_000
	// tryGap is the time between two tries of an ordinary client, of which there are tryers.
	tryers  = 8
	tryGap  = 200 * time.Millisecond
	leakFor = 35 * time.Second
)

// playLeak lets clients that nobody controls send large bodies of legal size, most of which stop
// just short of their end and stay open. Ordinary callers must still be let in.
func playLeak(b *bench, trouble bool) ([]string, error) {
	var own unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &own); err != nil {
		return nil, err
	}
	if own.Cur < stoppers+ownSockets {
		return nil, fmt.Errorf("the stand-ins need %d descriptors, the limit is %d", stoppers+ownSockets, own.Cur)
	}
	store, err := b.startStore()
	if err != nil {
		return nil, err
	}
	b.putJSON("op/config", deskConfig())
	if _, err := b.addWorker("i-1"); err != nil {
		return nil, err
	}
	e, err := b.startEdge(store)
	if err != nil {
		return nil, err
	}
	limit := unix.Rlimit{Cur: socketLimit, Max: socketLimit}
	if err := unix.Prlimit(e.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	sent := &sentIDs{bench: b, ids: map[string]bool{}, quiet: true}
	end := time.Now().Add(leakFor)
	var crowd sync.WaitGroup
	if trouble {
		b.startSenders(sent, e.http, end, &crowd)
		time.Sleep(500 * time.Millisecond)
		crowd.Go(func() { b.startStoppers(e.http, end) })
	}
	l := &letIn{bench: b, address: e.http, ready: e.ready, byStatus: map[int]int{}}
	broken := l.watch(end)
	crowd.Wait()
	b.note("answers to the %d uploads of the senders, by status: %v", len(sent.ids), sent.answers)
	b.note("answers to the ordinary clients, by status: %v", l.statuses())
	return broken, nil
}

// startSenders keeps the room for bodies taken: users upload bodies of the largest size, and
// smaller ones, over and over.
func (b *bench) startSenders(sent *sentIDs, address string, end time.Time, crowd *sync.WaitGroup) {
	for i := range largeUploads + smallUploads {
		size := maxBodyBytes
		if i >= largeUploads {
			size = smallBytes
		}
		crowd.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				upload{apiKey, fmt.Sprintf("sender-%d-%d", i, n), size, 7 * time.Second}.send(sent, address)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}

// startStoppers opens connections, on each of which a body stops just short of its end.
func (b *bench) startStoppers(address string, end time.Time) {
	var open []net.Conn
	defer func() {
		for _, conn := range open {
			_ = conn.Close()
		}
	}()
	text := []byte(message(http.MethodPost, "/lohu930/photo", "stopper", 8*time.Second, stopperBytes) + strings.Repeat("s", stopperBytes-1))
	for n := range stoppers {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			b.note("stopper %d can't connect: %v", n, err)
			break
		}
		open = append(open, conn)
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = conn.Write(text)
		time.Sleep(stopperGap)
	}
	b.note("%d clients have stopped short of the end of a body and stay", len(open))
	time.Sleep(time.Until(end))
}

// letIn are ordinary clients that try new connections, and the platform's readiness check.
type letIn struct {
	bench          *bench
	address, ready string
	answered       atomic.Int64
	readyAt        atomic.Int64

	mu       sync.Mutex
	byStatus map[int]int
}

// statuses returns how many answers had each status. 0 stands for tries without an answer.
func (l *letIn) statuses() map[int]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.byStatus)
}

// watch tries until a time. It returns the spans in which no new connection was answered although
// the edge said that it is ready.
func (l *letIn) watch(end time.Time) (broken []string) {
	l.answered.Store(int64(l.bench.now()))
	go l.check(end)
	for n := range tryers {
		go l.try(n, end)
	}
	worst := time.Duration(0)
	for time.Now().Before(end) {
		time.Sleep(100 * time.Millisecond)
		now := l.bench.now()
		silent := now - time.Duration(l.answered.Load())
		isReady := now-time.Duration(l.readyAt.Load()) < 1500*time.Millisecond
		if isReady && silent > worst {
			worst = silent
		}
	}
	l.bench.note("the longest time without an answer on a new connection, while the edge said that it is ready: %.1f s", worst.Seconds())
	if worst > contactWindow {
		broken = append(broken, fmt.Sprintf("RECOVER: the edge said that it is ready and took no new connection for %.1f s, while %d clients tried", worst.Seconds(), tryers))
	}
	return broken
}

// check asks for readiness each second, on a connection that it keeps.
func (l *letIn) check(end time.Time) {
	client := &http.Client{Timeout: time.Second}
	last := 0
	for time.Now().Before(end) {
		status := 0
		if response, err := client.Get("http://" + l.ready + "/-/readiness"); err == nil {
			status = response.StatusCode
			_ = response.Body.Close()
		}
		if status == http.StatusOK {
			l.readyAt.Store(int64(l.bench.now()))
		}
		if status != last {
			l.bench.note("readiness: %d", status)
			last = status
		}
		time.Sleep(time.Second)
	}
}

// try sends requests, each on a connection of its own. Any answer counts.
func (l *letIn) try(n int, end time.Time) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for k := 0; time.Now().Before(end); k++ {
		request, err := http.NewRequest(http.MethodPost, "http://"+l.address+"/puxa403/order", http.NoBody)
		if err != nil {
			return
		}
		request.Host = host
		request.Header.Set("X-Mulberryfork-Attempt-Id", fmt.Sprintf("ordinary-%d-%d", n, k))
		request.Header.Set("X-Api-Key", apiKey)
		request.Header.Set("X-Mulberryfork-Deadline-Remaining", "1000")
		response, err := client.Do(request)
		status := 0
		if err == nil {
			status = response.StatusCode
			_ = response.Body.Close()
			l.answered.Store(int64(l.bench.now()))
		}
		l.mu.Lock()
		l.byStatus[status]++
		l.mu.Unlock()
		time.Sleep(tryGap)
	}
}
