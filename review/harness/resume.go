//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func init() { cases["resume"] = playResume }

// streamPieces is the number of events of a stream.
const streamPieces = 6

// answerStream answers with the events after Last-Event-Id. Where none is left it answers
// 204, which tells a client of an event stream not to come again. A stream whose name ends
// with "gone" can't be resumed: the worker answers 404 to that.
func answerStream(w http.ResponseWriter, r *http.Request, _ []byte) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if last > 0 && strings.HasSuffix(r.URL.Path, "gone") || strings.HasSuffix(r.URL.Path, "absent") {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	if last >= streamPieces {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for id := last + 1; id <= streamPieces; id++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, id)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// playResume has clients lose the connection of a stream, and resume the stream on a kept
// connection. Without the disruption they read the same streams to the end.
func playResume(s *system, trouble bool) (bool, error) {
	s.store.put("op/config", config(7, []map[string]any{
		route("draft", "/draft/", "streaming", "pool", 8000, 2),
		route("status", "/status/", "idempotent", "desk", 1000, 2),
	}, []map[string]any{serviceEntry("pool"), serviceEntry("desk")}))
	for i, service := range []string{"pool", "pool", "pool", "desk", "desk"} {
		k := &worker{id: fmt.Sprintf("i-%d", i+1), service: service, address: "127.0.0.1:0", zone: "sk-west-a", slots: 12, born: time.Now().UnixMilli() - 60_000}
		if service == "pool" {
			k.weightVersion, k.answer = 1, answerStream
		}
		if err := k.start(s.rec); err != nil {
			return false, err
		}
		defer k.stop()
		k.register(s.store)
	}
	if err := s.startEdges(1); err != nil {
		return false, err
	}
	control := &caller{name: "client without Last-Event-Id", address: s.edges[0].http, rec: s.rec}
	defer control.close()
	if a := control.do(request{method: "POST", target: "/draft/absent", body: []byte("draft"), deadlineMs: 8000}); a.status != http.StatusNotFound || a.err != nil {
		return false, fmt.Errorf("a signed 404 did not come through: %v", a)
	}
	closed := 0
	for i := range 8 {
		path := fmt.Sprintf("/draft/%d", i)
		if i%2 == 1 {
			path += "gone"
		}
		kept := &caller{name: fmt.Sprintf("client %d, kept connection", i), address: s.edges[0].http, rec: s.rec}
		if a := kept.do(request{method: "GET", target: "/status/1", deadlineMs: 1000}); a.err != nil || a.status != 200 {
			return false, fmt.Errorf("the lookup before the stream failed: %v", a)
		}
		stream := request{method: "POST", target: path, body: []byte("draft"), deadlineMs: 8000}
		if !trouble {
			if a := kept.do(stream); a.err != nil || a.status != 200 || strings.Count(string(a.body), "id: ") != streamPieces {
				closed++
			}
			kept.close()
			continue
		}
		if err := cutStream(s, i, stream); err != nil {
			return false, err
		}
		stream.headers = map[string]string{"Last-Event-Id": strconv.Itoa(cutAfter(path))}
		if a := kept.do(stream); a.err != nil {
			s.rec.log("%s: closed without an answer, although the worker had answered", kept.name)
			closed++
		}
		kept.close()
	}
	s.rec.log("%d of 8 kept connections were closed without an answer; LOST allows three", closed)
	return closed > 3, nil
}

// cutAfter returns the event after which the connection of a stream is lost: the last one,
// before the end of the body, or for a stream that can't be resumed one midway.
func cutAfter(path string) int {
	if strings.HasSuffix(path, "gone") {
		return streamPieces / 2
	}
	return streamPieces
}

// cutStream reads a stream up to the event after which its connection is lost.
func cutStream(s *system, i int, stream request) error {
	c := &caller{name: fmt.Sprintf("client %d, connection that breaks", i), address: s.edges[0].http, rec: s.rec}
	defer c.close()
	if _, err := c.send(stream); err != nil {
		return err
	}
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			return err
		}
		if strings.Contains(line, fmt.Sprintf("data: piece %d", cutAfter(stream.target))) {
			s.rec.log("%s: has read event %d, then the connection breaks", c.name, cutAfter(stream.target))
			return nil
		}
		if strings.HasPrefix(line, "HTTP/1.1") && !strings.Contains(line, " 200 ") {
			return errors.New("the stream was not served: " + line)
		}
	}
}
