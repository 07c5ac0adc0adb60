package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	host       = "ficu95.example"
	apiKey     = "n2ctnfzs989anu6wsjnb"
	memberName = "hule930"
	// maxBodyBytes is that of sites/bodky-hq.toml.
	maxBodyBytes = 4194304
	// largeUploads and smallUploads are the numbers of users who upload at once, uploadTime is how
	// long each takes.
	largeUploads = 14
	smallUploads = 12
	smallBytes   = 100_000
	uploadTime   = 5 * time.Second
	uploadPieces = 50
	// parts is the number of parts in which the client sends its order, partGap the time between
	// two of them, and partLines the number of lines in each.
	parts     = 6
	partGap   = 700 * time.Millisecond
	partLines = 500
	lastLines = 50
	orderLine = "12 boxes of pigment, 3 reams of paper\r\n"
	// bookingTimeout is the route's timeoutMs.
	bookingTimeout = 3 * time.Second
)

// deskConfig is a configuration of one service with a route for uploads and one for bookings.
func deskConfig() map[string]any {
	route := func(name, prefix, kind string, timeout time.Duration, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "service": "xano55b", "timeoutMs": timeout.Milliseconds(),
			"targetLatencyMs": 300, "priority": 2, "maxAttempts": attempts, "anonymousAccess": false,
		}
	}
	return map[string]any{
		"version":  7,
		"routes":   []any{route("r-1", "/lohu930/", "idempotent", 8*time.Second, 2), route("r-2", "/puxa403/", "non_idempotent", bookingTimeout, 1)},
		"services": []any{map[string]any{"name": "xano55b", "healthCheckPath": "/healthz", "connectionLimit": 96}},
		"limits":   map[string]any{"maxBodyBytes": maxBodyBytes, "maxHeaderBytes": 16384, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
		"tenants":  []any{map[string]any{"name": memberName, "apiKeys": []any{apiKey}}},
	}
}

// message returns a request as it goes over the wire.
func message(method, path, id string, deadline time.Duration, length int) string {
	return messageAs(apiKey, method, path, id, deadline, length)
}

// messageAs is like message, with an API key.
func messageAs(key, method, path, id string, deadline time.Duration, length int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Mulberryfork-Attempt-Id: %s\r\nX-Mulberryfork-Deadline-Remaining: %d\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n\r\n",
		method, path, host, id, deadline.Milliseconds(), key, length)
}

// playMixed lets a client send an order with a long text over a slow link, and then another
// order on the same connection, while other users of its tenant upload large bodies.
func playMixed(b *bench, trouble bool) ([]string, error) {
	store, err := b.startStore()
	if err != nil {
		return nil, err
	}
	w := &worker{bench: b, id: "i-7f3a91c2", work: 30 * time.Millisecond}
	address, err := b.serve(w)
	if err != nil {
		return nil, err
	}
	b.putJSON("op/config", deskConfig())
	b.putJSON("servers/"+w.id, serverEntry("xano55b", address, "sk-west-a", 6))
	e, err := b.startEdge(store)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	sent := &sentIDs{bench: b, ids: map[string]bool{}}
	var crowd sync.WaitGroup
	if trouble {
		for i := range largeUploads {
			crowd.Go(func() { upload{apiKey, fmt.Sprintf("photo-%d", i), maxBodyBytes, uploadTime}.send(sent, e.http) })
		}
		time.Sleep(200 * time.Millisecond)
		for i := range smallUploads {
			crowd.Go(func() { upload{apiKey, fmt.Sprintf("note-%d", i), smallBytes, uploadTime}.send(sent, e.http) })
		}
		time.Sleep(200 * time.Millisecond)
	}
	broken, err := sendOrders(sent, e.http)
	if err != nil {
		return nil, err
	}
	crowd.Wait()
	time.Sleep(500 * time.Millisecond)
	for _, run := range w.arrivals() {
		b.note("worker %s ran %s %s at %.3f s", run.worker, run.path, run.id, run.at.Seconds())
		if !sent.has(run.id) {
			broken = append(broken, fmt.Sprintf("UNASKED: a worker ran %s %q, which no client sent", run.path, run.id))
		}
	}
	return broken, nil
}

// sentIDs are the IDs of the requests that clients sent.
type sentIDs struct {
	bench *bench
	mu    sync.Mutex
	ids   map[string]bool
	// quiet keeps single requests out of the record: it counts answers by status instead.
	quiet   bool
	answers map[int]int
}

func (s *sentIDs) add(id, what string) {
	if !s.quiet {
		s.bench.note("client sends %s, %s", id, what)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids[id] = true
}

// answered records an answer to an upload.
func (s *sentIDs) answered(id string, status int) {
	if !s.quiet {
		s.bench.note("%s is answered %d", id, status)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answers == nil {
		s.answers = make(map[int]int)
	}
	s.answers[status]++
}

func (s *sentIDs) has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[id]
}

// upload is a request with a large body, which is sent piece by piece.
type upload struct {
	key, id string
	size    int
	lasts   time.Duration
}

// send sends the request and waits for the answer. A client that is refused leaves: the request
// may be repeated.
func (u upload) send(sent *sentIDs, address string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		sent.bench.note("%s could not connect: %v", u.id, err)
		return
	}
	defer func() { _ = conn.Close() }()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			sent.bench.note("%s got no answer: %v", u.id, err)
			return
		}
		sent.answered(u.id, response.StatusCode)
	}()
	sent.add(u.id, fmt.Sprintf("a body of %d bytes over %s", u.size, u.lasts))
	if _, err := conn.Write([]byte(messageAs(u.key, http.MethodPost, "/lohu930/"+u.id, u.id, 8*time.Second, u.size))); err != nil {
		return
	}
	piece := []byte(strings.Repeat("p", u.size/uploadPieces+1))
	for left := u.size; left > 0; {
		n := min(left, len(piece))
		if _, err := conn.Write(piece[:n]); err != nil {
			break
		}
		left -= n
		select {
		case <-answered:
			return
		case <-time.After(u.lasts / uploadPieces):
		}
	}
	select {
	case <-answered:
	case <-time.After(4 * time.Second):
	}
}

// answer is what came on the connection of a client.
type answer struct {
	status          int
	attempt, signed string
	body            string
	// ended is set if the connection ended with it.
	ended bool
}

// readAnswers passes on the answers that come on a connection, until it ends.
func readAnswers(b *bench, conn net.Conn, answers chan<- answer) {
	defer close(answers)
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.note("the connection ends: %v", err)
			return
		}
		body, err := io.ReadAll(response.Body)
		a := answer{
			status: response.StatusCode, attempt: response.Header.Get("X-Mulberryfork-Attempt-Id"),
			signed: response.Header.Get("X-Mulberryfork-Response-Signature"), body: string(body), ended: response.Close || err != nil,
		}
		b.note("the connection carries an answer: status %d, attempt %q, signature %q, ends the connection %t, body %q", a.status, a.attempt, a.signed, a.ended, a.body)
		answers <- a
		if err != nil {
			b.note("the connection ends in the answer: %v", err)
			return
		}
	}
}

// sendOrders sends order-1, whose body takes longer than the timeout of its route, and then
// order-2: on the same connection if that is still open and order-1 is answered, else on a new
// one. order-2 is proper and must get an answer of its own.
func sendOrders(sent *sentIDs, address string) (broken []string, err error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	part := strings.Repeat(orderLine, partLines)
	last := strings.Repeat(orderLine, lastLines)
	length := (parts-1)*len(part) + len(last)
	answers := make(chan answer, 16)
	go readAnswers(sent.bench, conn, answers)
	sent.add("order-1", fmt.Sprintf("a body of %d bytes in %d parts, one each %s", length, parts, partGap))
	next := message(http.MethodPost, "/puxa403/order", "order-1", 8*time.Second, length)
	for i := range parts - 1 {
		if _, err := conn.Write([]byte(next + part)); err != nil {
			sent.bench.note("the client can't send part %d: %v", i, err)
			return nil, sendAlone(sent, address)
		}
		sent.bench.note("the client has sent part %d of the body of order-1", i)
		next = ""
		time.Sleep(partGap)
	}
	first, answered := receive(answers)
	if !answered {
		return nil, sendAlone(sent, address)
	}
	if _, again := receive(answers); again {
		return []string{"MIXED: order-1 is answered twice"}, nil
	}
	if first.ended {
		return nil, sendAlone(sent, address)
	}
	sent.bench.note("order-1 is answered %d, and its connection is open: the client sends the last part of its body", first.status)
	sent.add("order-2", "on the connection that order-1 has left open")
	if _, err := conn.Write([]byte(last + message(http.MethodPost, "/puxa403/order", "order-2", bookingTimeout, 0))); err != nil {
		sent.bench.note("order-2 can't be sent: %v", err)
		return nil, nil
	}
	select {
	case second, more := <-answers:
		if more && second.status == http.StatusBadRequest {
			broken = append(broken, fmt.Sprintf("MIXED: order-2, a proper request, gets the answer %d %q, which belongs to the rest of the body of order-1", second.status, second.body))
		}
	case <-time.After(bookingTimeout):
		sent.bench.note("order-2 is not answered")
	}
	return broken, nil
}

// receive returns an answer that is there.
func receive(answers <-chan answer) (answer, bool) {
	select {
	case a, ok := <-answers:
		return a, ok
	default:
		return answer{}, false
	}
}

// sendAlone sends order-2 on a new connection.
func sendAlone(sent *sentIDs, address string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	sent.add("order-2", "on a new connection")
	if _, err := conn.Write([]byte(message(http.MethodPost, "/puxa403/order", "order-2", bookingTimeout, 0))); err != nil {
		return err
	}
	answers := make(chan answer, 1)
	go readAnswers(sent.bench, conn, answers)
	select {
	case <-answers:
	case <-time.After(bookingTimeout):
	}
	return nil
}
