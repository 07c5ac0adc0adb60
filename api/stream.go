package api

import (
	"net/textproto"
	"strings"
)

// EventStream is the media type of server-sent events.
const EventStream = "text/event-stream"

// IsEventStream reports whether the headers declare the media type of
// server-sent events.
func IsEventStream(headers []Header) bool {
	for _, h := range headers {
		if textproto.CanonicalMIMEHeaderKey(h.Name) == "Content-Type" {
			return strings.HasPrefix(h.Value, EventStream)
		}
	}
	return false
}
