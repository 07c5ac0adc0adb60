package crowd

import (
	"fmt"
	"strings"
)

// Target is what the clients of an HTTP listener ask for.
type Target struct {
	// Path is that of a request with a body, Head its header lines without those of the body.
	Path, Head string
	// BodyBytes is the largest body that the process accepts.
	BodyBytes int
	// Answer and Stream are bodies that a complete response and a stream answer, much longer
	// than the buffers of a connection. StreamPath is the path for Stream.
	Answer, Stream, StreamPath string
}

const (
	manyClients = 2000
	// fewClients send so much that more of them only take longer.
	fewClients = 100
	// smallBody is a body of which a connection's buffers hold most.
	smallBody = 16 << 10
	tinyChunk = "1\r\nx\r\n"
	// tinyChunks is the number of chunks of one byte that a client sends.
	tinyChunks = 1000
	largeChunk = 64 << 10
	// endlessBytes bounds what a client without end sends.
	endlessBytes = 8 << 20
	// headBytes is more than half of what a header may have.
	headBytes = 40 << 10
	// maxFrameBytes bounds the frames that stop short of their end: a hundred of them exceed
	// the memory of a process.
	maxFrameBytes = 1 << 20
	// pipelined is the number of requests that are sent without reading a response.
	pipelined = 500
)

func (t Target) post(c *Client, path, framing string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\n%sX-Mulberryfork-Attempt-Id: crowd%d\r\n%s\r\n\r\n", path, t.Head, c.Number, framing)
}

const chunkedFraming = "Transfer-Encoding: chunked"

func length(n int) string { return fmt.Sprintf("Content-Length: %d", n) }

// sendBody sends n bytes in pieces of a size.
func sendBody(c *Client, n, piece int) bool {
	for sent := 0; sent < n; sent += piece {
		if !c.Send(strings.Repeat("x", min(piece, n-sent))) {
			return false
		}
	}
	return true
}

// sendChunks sends chunks of a size until they have n bytes.
func sendChunks(c *Client, n, size int) bool {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	for sent := 0; sent < n; sent += size {
		if !c.Send(chunk) {
			return false
		}
	}
	return true
}

func sendRepeated(c *Client, text string, n int) {
	block := strings.Repeat(text, max(largeChunk/len(text), 1))
	for sent := 0; sent < n && c.Send(block); sent += len(block) {
	}
}

// Bodies returns crowds that send bodies.
func Bodies(t Target) []Pattern {
	return []Pattern{
		{"large bodies that stop short of their end", 2 * fewClients, func(c *Client) {
			_ = c.Send(t.post(c, t.Path, length(t.BodyBytes))) && sendBody(c, t.BodyBytes-1, t.BodyBytes)
		}},
		{"large bodies piece by piece that stop short of their end", 2 * fewClients, func(c *Client) {
			_ = c.Send(t.post(c, t.Path, length(t.BodyBytes))) && sendBody(c, t.BodyBytes-1, largeChunk/4)
		}},
		{"small bodies that stop short of their end", manyClients, func(c *Client) {
			_ = c.Send(t.post(c, t.Path, length(smallBody))) && sendBody(c, smallBody-1, smallBody)
		}},
		{"tiny chunks that stop", manyClients, func(c *Client) {
			c.Send(t.post(c, t.Path, chunkedFraming) + strings.Repeat(tinyChunk, tinyChunks))
		}},
		{"large chunks that stop", 2 * fewClients, func(c *Client) {
			_ = c.Send(t.post(c, t.Path, chunkedFraming)) && sendChunks(c, t.BodyBytes-largeChunk, largeChunk)
		}},
		{"chunk extensions without end", fewClients, func(c *Client) {
			if c.Send(t.post(c, t.Path, chunkedFraming) + "1;x=") {
				sendRepeated(c, "y", endlessBytes)
			}
		}},
		{"trailers without end", fewClients, func(c *Client) {
			if c.Send(t.post(c, t.Path, chunkedFraming) + "0\r\n") {
				sendRepeated(c, "X-Filler: 0123456789\r\n", endlessBytes)
			}
		}},
		{"announced bodies over the limit, never read", fewClients, func(c *Client) {
			if c.Send(t.post(c, t.Path, length(64*t.BodyBytes))) {
				sendRepeated(c, "x", endlessBytes)
			}
		}},
		{"bodies over the limit, never read", fewClients, func(c *Client) {
			_ = c.Send(t.post(c, t.Path, chunkedFraming)) && sendChunks(c, endlessBytes, largeChunk)
		}},
		{"expectations that no body follows", manyClients, func(c *Client) {
			c.Send(t.post(c, t.Path, length(t.BodyBytes)+"\r\nExpect: 100-continue"))
		}},
	}
}

// Connections returns crowds that any HTTP listener is exposed to.
func Connections(path, head string) []Pattern {
	get := "GET " + path + " HTTP/1.1\r\n" + head
	return []Pattern{
		{"heads that stop", manyClients, func(c *Client) { c.Send(get + "X-Half: ") }},
		{"long heads of short lines that stop", manyClients / 2, func(c *Client) {
			var lines strings.Builder
			lines.WriteString(get)
			for n := 0; lines.Len() < headBytes; n++ {
				fmt.Fprintf(&lines, "%x:\r\n", n)
			}
			c.Send(lines.String())
		}},
		{"heads byte by byte", fewClients, func(c *Client) {
			for _, b := range get + strings.Repeat("x", headBytes) {
				if !c.Send(string(b)) {
					return
				}
			}
		}},
		{"connections without a request", manyClients, func(*Client) {}},
		{"connections idle after a request", manyClients, func(c *Client) {
			if c.Send(get + "\r\n") {
				_, _ = c.Read(make([]byte, largeChunk))
			}
		}},
		{"pipelined requests, responses never read", 2 * fewClients, func(c *Client) {
			c.Send(strings.Repeat(get+"\r\n", pipelined))
		}},
		{"connections closed at once", manyClients, func(c *Client) { _ = c.Close() }},
	}
}

// Responses returns crowds that ask for long responses and never read them.
func Responses(t Target) []Pattern {
	return []Pattern{
		{"answers that are never read", 6 * fewClients, func(c *Client) {
			c.Send(t.post(c, t.Path, length(len(t.Answer))) + t.Answer)
		}},
		{"streams that are never read", 6 * fewClients, func(c *Client) {
			c.Send(t.post(c, t.StreamPath, length(len(t.Stream))) + t.Stream)
		}},
	}
}

// Frames returns crowds that a listener between processes is exposed to. maxBytes is the
// largest message that it accepts.
func Frames(maxBytes int) []Pattern {
	maxBytes = min(maxBytes, maxFrameBytes)
	// A frame of a message: kind, stream, message, and the length of the data.
	header := append([]byte{messageKind << 1, 1, 1}, varint(maxBytes)...)
	return []Pattern{
		{"connections without a call", manyClients, func(*Client) {}},
		{"small frames that stop", manyClients, func(c *Client) { c.Send(string(header) + "x") }},
		{"large frames that stop short of their end", 2 * fewClients, func(c *Client) {
			_ = c.Send(string(header)) && sendBody(c, maxBytes-1, largeChunk)
		}},
		{"bytes that are no frame", fewClients, func(c *Client) { sendRepeated(c, "\x7f", endlessBytes) }},
		{"connections closed at once", manyClients, func(c *Client) { _ = c.Close() }},
	}
}

// messageKind is the kind of a frame that carries a part of a message.
const messageKind = 2

func varint(n int) []byte {
	var out []byte
	for ; n >= 0x80; n >>= 7 {
		out = append(out, byte(n)|0x80)
	}
	return append(out, byte(n))
}
