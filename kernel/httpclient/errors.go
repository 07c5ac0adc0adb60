package httpclient

import (
	"errors"
	"fmt"
	"strconv"
)

// Part is a part of a response.
type Part string

// Parts of a response that can be malformed.
const (
	StatusLine  Part = "status line"
	FieldLine   Part = "field line"
	FramingPart Part = "framing"
	TrailerPart Part = "trailer"
)

// maxQuoted bounds how much of a malformed part an error quotes.
const maxQuoted = 80

// MalformedError reports bytes that are no HTTP response (RFC 9112).
type MalformedError struct {
	Part Part
	// Text is the start of the malformed part.
	Text string
}

func malformed(part Part, text []byte) *MalformedError {
	return &MalformedError{Part: part, Text: string(text[:min(len(text), maxQuoted)])}
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed HTTP response: %s %q", e.Part, e.Text)
}

// HeadTooLongError reports a head of more than MaxHeadBytes, with the interim heads before it.
type HeadTooLongError struct{}

func (*HeadTooLongError) Error() string {
	return "the head of the response exceeds " + strconv.Itoa(MaxHeadBytes) + " bytes"
}

// BodyTooLongError reports a body that exceeds the limit of its reader.
type BodyTooLongError struct{ Limit int64 }

func (e *BodyTooLongError) Error() string {
	return "the body of the response exceeds " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// NoRoomError reports a response for which the account has no room.
type NoRoomError struct{ Err error }

func (e *NoRoomError) Error() string { return "no room for the response: " + e.Err.Error() }

// Unwrap returns the error of the account.
func (e *NoRoomError) Unwrap() error { return e.Err }

// IsNoRoom reports whether an error is a *NoRoomError.
func IsNoRoom(err error) bool {
	var noRoom *NoRoomError
	return errors.As(err, &noRoom)
}

// UnsolicitedError reports bytes on a connection that came before the request was sent. They
// are no response to it.
type UnsolicitedError struct{}

func (*UnsolicitedError) Error() string { return "the server sent bytes before the request" }

// ConnectError reports that there was no connection. The server has received nothing of the
// request.
type ConnectError struct{ Err error }

func (e *ConnectError) Error() string { return "connecting failed: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Err }

// ConnectionLostError reports a connection that did not end by an orderly close of the server.
type ConnectionLostError struct{ Err error }

func (e *ConnectionLostError) Error() string { return "the connection was lost: " + e.Err.Error() }

// Unwrap returns the error of the connection.
func (e *ConnectionLostError) Unwrap() error { return e.Err }
