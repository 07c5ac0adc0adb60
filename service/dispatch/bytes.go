package dispatch

import "github.com/mulberryfork/mulberryfork/api"

// headerOverhead is the number of bytes that a header line has beside its name and value.
const headerOverhead = 4

// sentBytes returns the size of a request as it was sent in one attempt.
func sentBytes(r api.Request, f *api.Failure, unsent bool) int64 {
	if unsent || f != nil && f.Code == api.CodeUpstreamUnreached {
		return 0
	}
	n := len(r.Method) + len(r.Path) + len(r.Body)
	for _, h := range r.Headers {
		n += len(h.Name) + len(h.Value) + headerOverhead
	}
	return int64(n)
}
