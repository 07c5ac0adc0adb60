package main

import (
	"net/http"
	"strings"
	"testing"
)

// malformedHeads are starts of responses that HTTP does not allow. The sound fields of a
// response follow each of them.
var malformedHeads = []struct{ name, start string }{
	{"status of two digits", "HTTP/1.1 20 OK\r\n"},
	{"status of four digits", "HTTP/1.1 2000 OK\r\n"},
	{"status with a sign", "HTTP/1.1 +20 OK\r\n"},
	{"negative status", "HTTP/1.1 -20 OK\r\n"},
	{"status with a letter", "HTTP/1.1 2O0 OK\r\n"},
	{"status 000", "HTTP/1.1 000 OK\r\n"},
	{"no status", "HTTP/1.1 OK\r\n"},
	{"two blanks before the status", "HTTP/1.1  200 OK\r\n"},
	{"tab before the status", "HTTP/1.1\t200 OK\r\n"},
	{"no blank after the status", "HTTP/1.1 200OK\r\n"},
	{"control byte in the reason", "HTTP/1.1 200 O\x01K\r\n"},
	{"NUL in the reason", "HTTP/1.1 200 O\x00K\r\n"},
	{"CR alone in the reason", "HTTP/1.1 200 O\rK\r\n"},
	{"version 2", "HTTP/2.0 200 OK\r\n"},
	{"version 0.9", "HTTP/0.9 200 OK\r\n"},
	{"lower case", "http/1.1 200 OK\r\n"},
	{"blank line first", "\r\nHTTP/1.1 200 OK\r\n"},
	{"blank in a name", "HTTP/1.1 200 OK\r\nX Field: 1\r\n"},
	{"blank before the colon", "HTTP/1.1 200 OK\r\nX-Field : 1\r\n"},
	{"blank before the colon of a length", "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n"},
	{"tab before the colon", "HTTP/1.1 200 OK\r\nX-Field\t: 1\r\n"},
	{"control byte in a name", "HTTP/1.1 200 OK\r\nX-\x01Field: 1\r\n"},
	{"NUL in a name", "HTTP/1.1 200 OK\r\nX-\x00Field: 1\r\n"},
	{"DEL in a name", "HTTP/1.1 200 OK\r\nX-\x7fField: 1\r\n"},
	{"CR in a name", "HTTP/1.1 200 OK\r\nX-\rField: 1\r\n"},
	{"byte above ASCII in a name", "HTTP/1.1 200 OK\r\nX-\xc3\xa9: 1\r\n"},
	{"separator in a name", "HTTP/1.1 200 OK\r\nX(Field): 1\r\n"},
	{"no name", "HTTP/1.1 200 OK\r\n: 1\r\n"},
	{"no colon", "HTTP/1.1 200 OK\r\nX-Field\r\n"},
	{"control byte in a value", "HTTP/1.1 200 OK\r\nX-Field: a\x02b\r\n"},
	{"NUL in a value", "HTTP/1.1 200 OK\r\nX-Field: a\x00b\r\n"},
	{"CR alone in a value", "HTTP/1.1 200 OK\r\nX-Field: a\rContent-Length: 3\r\n"},
	{"first line begins with a blank", "HTTP/1.1 200 OK\r\n X-Field: 1\r\n"},
	{"first line begins with a tab", "HTTP/1.1 200 OK\r\n\tX-Field: 1\r\n"},
	{"malformed interim head", "HTTP/1.1 103 Early Hints\r\nLink : x\r\n\r\nHTTP/1.1 200 OK\r\n"},
	{"length that is no number", "HTTP/1.1 200 OK\r\nContent-Length: six\r\n"},
	{"length with a sign", "HTTP/1.1 200 OK\r\nContent-Length: +6\r\n"},
	{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"},
	{"length and chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"},
	{"unknown transfer coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: x\r\n"},
}

// Guards against answers that are none: a head that HTTP does not allow was passed on with the
// line, without it, or with a body of another length than the upstream's.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	f := newFixtureWithRetryBudget(t, 1_000_000)
	u := newRawUpstream(t, "")
	f.useRaw(u)
	for _, c := range malformedHeads {
		for _, path := range []string{"/u/x", "/i/x", "/s/x"} {
			t.Run(c.name+path, func(t *testing.T) {
				u.set(func(id string) string { return strings.ReplaceAll(c.start+responseFields, "%s", id) })
				response, body, err := f.send(path, "key1", "whole")
				if err != nil {
					t.Fatal(err)
				}
				if response.StatusCode != http.StatusBadGateway || response.Header.Get("X-Mulberryfork-Response-Signature") != "" {
					t.Errorf("%d %q %v, want 502 without a signature", response.StatusCode, body, response.Header)
				}
			})
		}
	}
}

// Guards against a rule for heads that refuses what HTTP allows.
func TestAllowedHeadIsForwarded(t *testing.T) {
	f := newFixture(t)
	u := newRawUpstream(t, "")
	f.useRaw(u)
	for _, c := range []struct{ name, start string }{
		{"no reason", "HTTP/1.1 200 \r\n"},
		{"no blank before an empty reason", "HTTP/1.1 200\r\n"},
		{"reason of several words", "HTTP/1.1 200 All is\twell \xe9\r\n"},
		{"version 1.0", "HTTP/1.0 200 OK\r\n"},
		{"lines that end with LF", "HTTP/1.1 200 OK\nX-Field: 1\n"},
		{"blanks and tabs around a value", "HTTP/1.1 200 OK\r\nX-Field: \t a\tb \t\r\n"},
		{"empty value", "HTTP/1.1 200 OK\r\nX-Field:\r\n"},
		{"all bytes of a name", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\n"},
		{"bytes above ASCII in a value", "HTTP/1.1 200 OK\r\nX-Field: \xc3\xa9\r\n"},
		{"folded line", "HTTP/1.1 200 OK\r\nX-Field: a\r\n b\r\n"},
		{"interim head", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n"},
		{"long head", "HTTP/1.1 200 OK\r\nX-Field: " + strings.Repeat("x", 32<<10) + "\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			u.set(func(id string) string { return strings.ReplaceAll(c.start+responseFields, "%s", id) })
			response, body, err := f.send("/u/x", "key1", "whole")
			if err != nil || response.StatusCode != http.StatusOK || body != "answer" {
				t.Errorf("%v %q, %v", response, body, err)
			}
		})
	}
}

// Guards against a body with chunks in HTTP/1.0, where a transfer coding has no meaning: the
// caller got the sizes of the chunks as a part of the body.
func TestChunksInOldVersionAreNoResponse(t *testing.T) {
	f := newFixture(t)
	u := newRawUpstream(t, "HTTP/1.0 200 OK\r\nX-Mulberryfork-Attempt-Id: %s\r\nX-Mulberryfork-Response-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n")
	f.useRaw(u)
	response, body, err := f.send("/u/x", "key1", "whole")
	if err != nil || response.StatusCode != http.StatusBadGateway {
		t.Errorf("%v %q, %v; want 502", response, body, err)
	}
}

// Guards against a trailer with a malformed line after a body that looks whole.
func TestMalformedTrailerIsNotComplete(t *testing.T) {
	for _, line := range []string{"X Field: 1", "X-Field : 1", "X-\x01: 1", "X-Field"} {
		f := newFixture(t)
		u := newRawUpstream(t, "HTTP/1.1 200 OK\r\nX-Mulberryfork-Attempt-Id: %s\r\nX-Mulberryfork-Response-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n"+line+"\r\n\r\n")
		f.useRaw(u)
		if response, body, err := f.send("/u/x", "key1", "whole"); err == nil && response.StatusCode == http.StatusOK {
			t.Errorf("%q: complete with %q", line, body)
		}
	}
}
