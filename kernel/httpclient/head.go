package httpclient

import (
	"bytes"
	"net/http"
)

const (
	// MaxHeadBytes bounds the head of a response, with the interim heads before it.
	MaxHeadBytes = 64 << 10
	// headByteCost and headLineCost are what a byte and a line of a head cost. net/textproto
	// measures 200 bytes for an entry of a map of headers.
	headByteCost, headLineCost = 2, 200
)

// headState is the part of a head that comes next.
type headState uint8

const (
	atStatusLine headState = iota
	atFirstField
	atField
	afterHead
)

// headParser checks the head of a response as its bytes arrive (RFC 9112, sections 4 and 5).
// net/http accepts more: blanks in the name of a field, signs in a status, control bytes in
// a reason, versions other than 1, and a length beside a transfer coding.
type headParser struct {
	state headState
	// line holds the start of a line whose end has not come.
	line []byte
	// read and lines count bytes and field lines, those of interim heads too.
	read, lines int
	// interim is set in the head of an interim response, after which another head follows.
	interim bool
	// minor is the minor version of the protocol.
	minor                byte
	hasLength, hasCoding bool
}

// cost returns the memory that the head takes.
func (p *headParser) cost() int64 {
	return int64(p.read)*headByteCost + int64(p.lines)*headLineCost
}

// feed checks bytes up to the end of the head.
func (p *headParser) feed(data []byte) error {
	for len(data) > 0 && p.state != afterHead {
		line, rest, isWhole := bytes.Cut(data, []byte{'\n'})
		p.read += len(data) - len(rest)
		if p.read > MaxHeadBytes {
			return &HeadTooLongError{}
		}
		data = rest
		if !isWhole {
			p.line = append(p.line, line...)
			return nil
		}
		if len(p.line) > 0 {
			line = append(p.line, line...)
			p.line = line[:0]
		}
		if err := p.endLine(bytes.TrimSuffix(line, []byte{'\r'})); err != nil {
			return err
		}
	}
	return nil
}

func (p *headParser) endLine(line []byte) error {
	switch {
	case p.state == atStatusLine:
		return p.statusLine(line)
	case len(line) == 0:
		return p.endHead()
	}
	isFirst := p.state == atFirstField
	p.state = atField
	p.lines++
	if line[0] == ' ' || line[0] == '\t' {
		// A folded line continues the one before it.
		if isFirst || !isText(line) {
			return malformed(FieldLine, line)
		}
		return nil
	}
	name, value, hasColon := bytes.Cut(line, []byte{':'})
	if !hasColon || !isToken(name) || !isText(value) {
		return malformed(FieldLine, line)
	}
	p.hasLength = p.hasLength || bytes.EqualFold(name, []byte("Content-Length"))
	p.hasCoding = p.hasCoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	return nil
}

// statusLine checks the version, the status and the reason. A line that ends after the status
// is accepted, since many servers leave out the blank before an empty reason.
func (p *headParser) statusLine(line []byte) error {
	const version, status = "HTTP/1.", "HTTP/1.1 200"
	if len(line) < len(status) || !bytes.HasPrefix(line, []byte(version)) || !isDigit(line[len(version)]) || line[len(version)+1] != ' ' {
		return malformed(StatusLine, line)
	}
	for _, c := range line[len(version)+2 : len(status)] {
		if !isDigit(c) {
			return malformed(StatusLine, line)
		}
	}
	if reason := line[len(status):]; len(reason) > 0 && (reason[0] != ' ' || !isText(reason)) {
		return malformed(StatusLine, line)
	}
	p.minor = line[len(version)]
	p.interim = line[len(version)+2] == '1' && string(line[len(version)+2:len(status)]) != "101"
	p.state = atFirstField
	return nil
}

// endHead checks what the head says of the end of the body (RFC 9112, section 6).
func (p *headParser) endHead() error {
	if p.interim {
		p.state = atStatusLine
		return nil
	}
	if p.hasCoding && p.hasLength {
		return malformed(FramingPart, []byte("both a length and a transfer coding"))
	}
	if p.hasCoding && p.minor == '0' {
		return malformed(FramingPart, []byte("a transfer coding in HTTP/1.0"))
	}
	p.state = afterHead
	return nil
}

// checkTrailer returns an error for a trailer with a name that no field can have. net/http
// accepts blanks in it, as in a head.
func checkTrailer(trailer http.Header) error {
	for name := range trailer {
		if !isToken([]byte(name)) {
			return malformed(TrailerPart, []byte(name))
		}
	}
	return nil
}

// CheckField returns a *MalformedError unless HTTP allows a field with a name and a value. It is
// for fields that came by another protocol.
func CheckField(name, value string) error {
	if !isToken([]byte(name)) || !isText([]byte(value)) {
		return malformed(FieldLine, []byte(name+": "+value))
	}
	return nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isToken reports whether a text can be the name of a field (RFC 9110, section 5.6.2).
func isToken(text []byte) bool {
	for _, c := range text {
		isLetter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !isLetter && !isDigit(c) && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) < 0 {
			return false
		}
	}
	return len(text) > 0
}

// isText reports whether a text has no control bytes but tabs (RFC 9110, section 5.5).
func isText(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
