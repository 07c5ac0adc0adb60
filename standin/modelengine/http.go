package modelengine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// maxPoll is the maximum duration of a long poll for cache events.
const maxPoll = 30 * time.Second

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.completionHandler(true))
	mux.HandleFunc("POST /v1/completions", e.completionHandler(false))
	mux.HandleFunc("GET /v1/models", e.listModels)
	mux.HandleFunc("GET /internal/cache-events", e.cacheEvents)
	mux.HandleFunc("GET /internal/load", e.getLoad)
	mux.HandleFunc("POST /internal/kv/export", e.exportKV)
	mux.HandleFunc("POST /internal/kv/import", e.importKV)
	mux.HandleFunc("POST /internal/orders", e.postOrder)
	mux.HandleFunc("GET /internal/orders", e.getOrders)
	return mux
}

// ServeHTTP handles a request, or drops the connection while the engine is down.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	down, incarnation := e.isDown(), e.incarnation
	e.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderIncarnation, strconv.FormatUint(incarnation, 10))
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	e.mux.ServeHTTP(w, r)
}

// decode decodes the request body. On failure, it writes an error response and
// returns false.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request")
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func writeError(w http.ResponseWriter, status int, code string) {
	writeJSON(w, status, errorBody{errorDetail{Message: http.StatusText(status), Type: "engine_error", Code: code}})
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (e *Engine) listModels(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	names := e.volatile.managed.loadedNames(e.options.Clock.Now())
	e.mu.Unlock()
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, n := range names {
		list.Data = append(list.Data, modelEntry{ID: n, Object: "model"})
	}
	writeJSON(w, http.StatusOK, list)
}

// CacheFeed is a response of the cache event feed.
type CacheFeed struct {
	Incarnation uint64       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// cacheEvents returns the cache events with a sequence number above the query
// parameter "after". An event becomes visible after CacheEventLag. If none is visible,
// cacheEvents waits up to "wait_ms" milliseconds for one.
func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, errAfter := queryNumber(r, "after")
	wait, errWait := queryNumber(r, "wait_ms")
	if errAfter != nil || errWait != nil {
		writeError(w, http.StatusBadRequest, "invalid_request")
		return
	}
	timeout := time.NewTimer(min(time.Duration(min(wait, uint64(maxPoll.Milliseconds())))*time.Millisecond, maxPoll))
	defer timeout.Stop()
	for {
		e.mu.Lock()
		now := e.options.Clock.Now()
		events, next := e.volatile.cache.eventsAfter(after, now)
		feed := CacheFeed{Incarnation: e.incarnation, Events: events}
		changed, crashed := e.volatile.cache.changed, e.volatile.crashed
		e.mu.Unlock()
		if len(events) > 0 || !waitForEvents(r, timeout, next-now, changed, crashed) {
			writeJSON(w, http.StatusOK, feed)
			return
		}
	}
}

// waitForEvents waits until there may be visible events. It returns false if the poll
// times out first. It aborts the connection if the engine crashes or the client
// disconnects.
func waitForEvents(r *http.Request, timeout *time.Timer, visibleIn time.Duration, changed, crashed chan struct{}) bool {
	var visible <-chan time.Time
	if visibleIn > 0 {
		t := time.NewTimer(visibleIn)
		defer t.Stop()
		visible = t.C
	}
	select {
	case <-visible:
		return true
	case <-changed:
		return true
	case <-timeout.C:
		return false
	case <-crashed:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

func queryNumber(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	load := e.laggedLoad()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, load)
}

// Blocks is the body of requests and responses that export or import blocks of the
// prefix cache.
type Blocks struct {
	// Blocks holds the hashes of the blocks.
	Blocks []uint64 `json:"blocks"`
}

// exportKV returns the hashes of those requested blocks that are cached, for import
// by another engine.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var q Blocks
	if !decode(w, r, &q) {
		return
	}
	e.mu.Lock()
	cached := e.volatile.cache.cachedBlocks(q.Blocks)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, Blocks{Blocks: cached})
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var q Blocks
	if !decode(w, r, &q) {
		return
	}
	e.mu.Lock()
	e.addBlocks(q.Blocks)
	cached := e.volatile.cache.cachedBlocks(q.Blocks)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, Blocks{Blocks: cached})
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !decode(w, r, &o) {
		return
	}
	e.mu.Lock()
	result := e.volatile.managed.handle(o, e.options.ChecksFencing, e.options.Clock.Now()+e.options.ModelLoadTime)
	state := e.orderState()
	e.mu.Unlock()
	switch result {
	case orderStale:
		writeError(w, http.StatusConflict, "stale_fencing_token")
	case orderInvalid:
		writeError(w, http.StatusBadRequest, "invalid_order")
	default:
		writeJSON(w, http.StatusOK, state)
	}
}

func (e *Engine) getOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := e.orderState()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, state)
}

func (e *Engine) orderState() OrderState {
	state := e.volatile.managed.state(e.options.ChecksFencing)
	state.Incarnation, state.Steps = e.incarnation, e.volatile.steps
	return state
}
