package api

// ListenError reports an address that cannot be served.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }
