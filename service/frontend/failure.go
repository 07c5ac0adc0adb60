package frontend

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// failureBody is the JSON body of a response that reports a failure.
type failureBody struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Code         api.Code     `json:"code"`
	Run          api.RunState `json:"run"`
	Message      string       `json:"message"`
	RetryAfterMs int64        `json:"retry_after_ms,omitempty"`
	BoundKey     string       `json:"bound_key,omitempty"`
}

// encodeFailure returns the JSON body for a failure. Its message is the detail or, if
// that is empty, the text of the error.
func encodeFailure(f *api.Failure) []byte {
	message := f.Detail
	if message == "" && f.Err != nil {
		message = f.Err.Error()
	}
	body, err := json.Marshal(failureBody{Error: failureDetail{
		Code:         f.Code,
		Run:          f.Run,
		Message:      message,
		RetryAfterMs: f.RetryAfter.Milliseconds(),
		BoundKey:     f.BoundKey,
	}})
	if err != nil {
		// The fields are plain strings and numbers, which always encode.
		return []byte(`{"error":{"code":"internal","run":"unknown"}}`)
	}
	return body
}

func writeFailure(w http.ResponseWriter, f *api.Failure) {
	w.Header().Set("Content-Type", "application/json")
	if f.RetryAfter > 0 {
		seconds := int(math.Ceil(f.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(max(seconds, 1)))
	}
	w.WriteHeader(httpStatus(f.Code))
	_, _ = w.Write(append(encodeFailure(f), '\n'))
}

// httpStatuses maps failure codes to HTTP status codes. Other codes map to 503.
var httpStatuses = map[api.Code]int{
	api.CodeBadRequest:       http.StatusBadRequest,
	api.CodeUnauthenticated:  http.StatusUnauthorized,
	api.CodeForbidden:        http.StatusForbidden,
	api.CodeNotFound:         http.StatusNotFound,
	api.CodeUnknownModel:     http.StatusNotFound,
	api.CodeUnknownService:   http.StatusNotFound,
	api.CodeMethodNotAllowed: http.StatusMethodNotAllowed,
	api.CodeBodyTooLarge:     http.StatusRequestEntityTooLarge,
	api.CodeHeaderTooLarge:   http.StatusRequestHeaderFieldsTooLarge,
	api.CodeTooManyStreams:   http.StatusTooManyRequests,
	api.CodeRateLimited:      http.StatusTooManyRequests,
	api.CodeQueueFull:        http.StatusTooManyRequests,
	api.CodeKeyMalformed:     http.StatusBadRequest,
	api.CodeKeyReused:        http.StatusUnprocessableEntity,
	api.CodeKeyNotBound:      http.StatusConflict,
	api.CodeKeyExpired:       http.StatusConflict,
	api.CodeInProgress:       http.StatusConflict,
	api.CodeTombstoned:       http.StatusConflict,
	api.CodeAnswerNotKept:    http.StatusConflict,
	api.CodeDeadlineExceeded: http.StatusGatewayTimeout,
	api.CodeUpstreamFailed:   http.StatusBadGateway,
	api.CodeStreamBroken:     http.StatusBadGateway,
	api.CodeLinkLost:         http.StatusBadGateway,
	api.CodeNoRoom:           http.StatusBadGateway,
	api.CodeWrongIncarnation: http.StatusBadGateway,
	api.CodeInternal:         http.StatusInternalServerError,
}

func httpStatus(code api.Code) int {
	if s, ok := httpStatuses[code]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

func badRequest(detail string) *api.Failure {
	return api.NewFailure(api.CodeBadRequest, api.NotRun, detail)
}

// parseTimeout returns the request timeout in text, at most limit. It returns limit if
// text is empty.
func parseTimeout(text string, limit time.Duration) (time.Duration, *api.Failure) {
	if text == "" {
		return limit, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, badRequest(headerTimeout + " must be a positive duration such as 1.5s")
	}
	return min(d, limit), nil
}
