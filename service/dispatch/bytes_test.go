package dispatch

import (
	"testing"

	"github.com/mulberryfork/mulberryfork/api"
)

// Guards against bytes that count although the request was not sent.
func TestSentBytes(t *testing.T) {
	r := api.Request{Method: "POST", Path: "/x", Body: make([]byte, 1000), Headers: []api.Header{{Name: "A", Value: "b"}}}
	const size = 4 + 2 + 1000 + 2 + headerOverhead
	if n := sentBytes(r, nil, false); n != size {
		t.Errorf("%d bytes, want %d", n, size)
	}
	unreached := api.NewFailure(api.CodeUpstreamUnreached, api.NotRun, "")
	if sentBytes(r, nil, true) != 0 || sentBytes(r, unreached, false) != 0 {
		t.Error("a request that was not sent counts")
	}
}
