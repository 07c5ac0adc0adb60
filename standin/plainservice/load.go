package plainservice

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// Load is the response to GET /internal/load.
type Load struct {
	Incarnation uint64 `json:"incarnation"`
	Running     int    `json:"running"`
	Executions  int    `json:"executions"`
}

func (s *Service) serveLoad(w http.ResponseWriter) {
	s.mu.Lock()
	load := Load{Incarnation: s.incarnation, Running: s.running, Executions: s.executions}
	down := s.options.Clock.Now() < s.downUntil
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(load)
}

func formatIncarnation(n uint64) string { return strconv.FormatUint(n, 10) }
