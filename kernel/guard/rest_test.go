package guard_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/kernel/guard"
)

// pipeListener accepts one connection.
type pipeListener struct{ conns chan net.Conn }

func (l *pipeListener) Accept() (net.Conn, error) {
	if conn, ok := <-l.conns; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return nil }

// Guards against a request that is refused before its body is read and keeps its connection for
// good because the body stops: with and without a length, and ended for lack of room.
func TestUnreadBodyThatStopsIsAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		framing string
		end     bool
		within  time.Duration
	}{
		"length":       {"Content-Length: 100", false, time.Minute},
		"chunks":       {"Transfer-Encoding: chunked", false, time.Minute},
		"lack of room": {"Content-Length: 100", true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.WriteHeader(http.StatusUnauthorized)
				})}
				guard.Install(server)
				l := &pipeListener{conns: make(chan net.Conn, 1)}
				a := &account{closed: make(chan struct{})}
				go func() { _ = server.Serve(guard.NewListener(l, "http", false, a)) }()
				client, accepted := net.Pipe()
				l.conns <- accepted
				begin := time.Now()
				if _, err := io.WriteString(client, "POST / HTTP/1.1\r\nHost: h\r\n"+c.framing+"\r\n\r\n5\r\nstops"); err != nil {
					t.Fatal(err)
				}
				synctest.Wait()
				if c.end && !a.end() {
					t.Error("a connection whose body stalls was not ended")
				}
				response, err := http.ReadResponse(bufio.NewReader(client), nil)
				if err != nil || response.StatusCode != http.StatusUnauthorized {
					t.Errorf("%v, %v", response, err)
				}
				if waited := time.Since(begin); waited != c.within {
					t.Errorf("answered after %v, want %v", waited, c.within)
				}
				<-a.closed
				close(l.conns)
			})
		})
	}
}
