package api

// ListenError reports a failure to listen on an address.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }
