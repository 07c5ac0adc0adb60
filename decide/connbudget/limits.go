// Package connbudget is the account of what the connections of a process make it hold: their
// number, and the bytes of heads, bodies, frames and responses. It answers for clients that
// nobody controls, which open many connections, send without end or stop short of the end.
// While there is room, no connection is ended. When the account is short, those that make the
// least progress are ended first, so that ordinary callers find room.
package connbudget

import "time"

// Defaults of the limits on the progress of a connection. A client on a bad link of 8 kbit/s
// makes progress, and keeps its connection through two lost packets in a row.
const (
	DefaultMinRate      = 1 << 10
	DefaultStallTime    = 2 * time.Second
	DefaultWriteTimeout = 30 * time.Second
)

const (
	// ConnectionBytes is what a connection holds at most without a charge of its own: its
	// buffers, stacks, a short head and a small body. 31 KB were measured for a connection
	// that stops after 1 KB of a body.
	ConnectionBytes = 32 << 10
	// RequestBytes is what a request in flight holds beside its connection: the connection to
	// the upstream, with its goroutines, and buffers of the response.
	RequestBytes = 64 << 10

	// programMB is what the process itself takes: 20 MB resident were measured at rest.
	programMB = 24
	// The fractions of the other memory that connections, requests in flight, and bytes that
	// are charged each may take. The rest is for what the garbage collector has not freed yet.
	connectionFraction = 0.2
	requestFraction    = 0.15
	byteFraction       = 0.3
	// collectorFraction is the least fraction of the memory that the soft limit of the runtime
	// leaves. While 600 streams were relayed on a busy machine, the heap exceeded its limit by
	// 20 MB before the collector had caught up.
	collectorFraction = 0.25
	// These are granted to the smallest process.
	minConnections     = 64
	minRequests        = 64
	minBytes           = 1 << 20
	minRuntimeFraction = 0.5

	// reservedDescriptors are kept for files.
	reservedDescriptors = 200
	// ownDescriptors are kept for the store, the listeners and the runtime.
	ownDescriptors = 32
	// descriptorsPerConnection: a connection may have a request in flight, which takes one to
	// an upstream.
	descriptorsPerConnection = 2

	bytesPerMB = 1 << 20
	unlimited  = 1 << 30
)

// Limits bound the account of one process.
type Limits struct {
	// Connections is the number of connections, Requests that of requests in flight.
	Connections, Requests int
	// Bytes is the number of charged bytes, 0 for no bound.
	Bytes int64
	// Runtime is the soft memory limit of the Go runtime in bytes, 0 for none.
	Runtime int64
	// MinRate is the number of bytes per second at which a connection makes progress.
	MinRate int64
	// StallTime is how long a connection without progress is kept when the account is short.
	StallTime time.Duration
	// WriteTimeout is how long a connection is kept that takes nothing of its response.
	WriteTimeout time.Duration
}

// Derive returns the limits for a process with a memory limit and a number of descriptors. 0
// stands for an unknown one, which bounds nothing.
func Derive(memoryMB float64, descriptors int) Limits {
	l := Limits{Connections: unlimited, Requests: unlimited}
	if memoryMB > 0 {
		usable := (memoryMB - programMB) * bytesPerMB
		l.Connections = max(int(connectionFraction*usable/ConnectionBytes), minConnections)
		l.Requests = max(int(requestFraction*usable/RequestBytes), minRequests)
		l.Bytes = max(int64(byteFraction*usable), minBytes)
		left := memoryMB - max(16, collectorFraction*memoryMB)
		l.Runtime = int64(max(left, minRuntimeFraction*memoryMB) * bytesPerMB)
	}
	if descriptors > 0 {
		usable := descriptors - reservedDescriptors - ownDescriptors
		l.Connections = min(l.Connections, max(usable/descriptorsPerConnection, 1))
	}
	return l
}
