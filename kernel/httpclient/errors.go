package httpclient

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
