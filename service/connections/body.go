package connections

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel/guard"
)

// body reads the body of one request within what its member may hold.
type body struct {
	guard.Body
	service *service
	ctx     context.Context
	member  string
}

// NewBody returns a reader for the body of a request.
func (s *service) NewBody(r *http.Request) api.RequestBody {
	b := &body{service: s, ctx: r.Context()}
	b.Budget = b
	return b
}

// Take takes n bytes of what the member may hold.
func (b *body) Take(n int64) error {
	if failure := b.service.TakeBody(b.ctx, b.member, n); failure != nil {
		return failure
	}
	return nil
}

// Return gives back n bytes.
func (b *body) Return(n int64) { b.service.ReturnBody(b.ctx, b.member, n) }

// ReadFor reads the body for a member. No request has run whose body is not complete.
func (b *body) ReadFor(member string, w http.ResponseWriter, r *http.Request, maxBytes int64, within time.Duration) ([]byte, *api.Failure) {
	b.member = member
	data, err := b.Read(w, r, maxBytes, within)
	if err == nil {
		return data, nil
	}
	var refused *api.Failure
	var tooLarge *guard.TooLargeError
	var stalled *guard.StalledError
	switch {
	case errors.As(err, &refused):
		return nil, refused
	case errors.As(err, &tooLarge):
		return nil, api.NewFailure(api.CodeBodyTooLarge, api.NotRun, tooLarge.Error())
	case errors.As(err, &stalled):
		return nil, api.NewFailure(api.CodeOverloaded, api.NotRun, stalled.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &api.Failure{Code: api.CodeDeadlineExceeded, Run: api.NotRun, Detail: "the body did not arrive in time", Err: err}
	}
	return nil, &api.Failure{Code: api.CodeBadRequest, Run: api.NotRun, Detail: "the body could not be read", Err: err}
}
