// Package settings parses and validates the settings file of a process, a TOML
// file.
package settings

import (
	"fmt"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/connbudget"
	"github.com/mulberryfork/mulberryfork/decide/tomltree"
)

// Role is the kind of process that settings are for.
type Role string

// Roles of processes in the pool.
const (
	Router Role = "router"
	Agent  Role = "agent"
	// Edge routes requests on a platform that publishes routes and upstreams in
	// a store. Side is the sidecar of an upstream there.
	Edge Role = "edge"
	Side Role = "side"
)

// MaxBytes limits the size of a settings file.
const MaxBytes = 64 << 10

// Defaults of absent keys, which docs/operators/settings.md lists.
const (
	DefaultListenHTTP     = "0.0.0.0:8080"
	DefaultListenLink     = "0.0.0.0:7000"
	DefaultListenAdmin    = "127.0.0.1:9100"
	DefaultHeaderBytes    = 32 << 10
	DefaultBodyBytes      = 8 << 20
	DefaultReadTimeout    = 10 * time.Second
	DefaultRequestTimeout = 5 * time.Minute
	DefaultStreams        = 10_000
	DefaultLogLevel       = "info"
	DefaultLogFormat      = "text"
	DefaultStopDeadline   = time.Minute
	DefaultDrainDelay     = 5 * time.Second
)

// Read returns the settings of a process, or every error found in the file.
func Read(file string, data []byte, role Role) (*api.Settings, *tomltree.Errors) {
	if len(data) > MaxBytes {
		message := fmt.Sprintf("%d bytes; at most %d are allowed", len(data), MaxBytes)
		return nil, tomltree.NewErrors([]*tomltree.Error{{File: file, Kind: tomltree.TooLarge, Message: message}})
	}
	tree, failure := tomltree.Parse(file, data)
	if failure != nil {
		return nil, tomltree.NewErrors([]*tomltree.Error{failure})
	}
	s := &api.Settings{}
	errs := tomltree.Decode(tree, s)
	applyDefaults(s, tree, role)
	errs = tomltree.MergeErrors(errs, validate(s, tree, role))
	if all := tomltree.NewErrors(errs); all != nil {
		return nil, all
	}
	return s, nil
}

func applyDefaults(s *api.Settings, tree *tomltree.Node, role Role) {
	if role == Router || role == Edge {
		tomltree.Default(tree, &s.DrainDelay, api.Duration(DefaultDrainDelay), "drain_delay")
		tomltree.Default(tree, &s.Listen.HTTP, DefaultListenHTTP, "listen", "http")
	}
	tomltree.Default(tree, &s.Listen.Link, DefaultListenLink, "listen", "link")
	tomltree.Default(tree, &s.Listen.Admin, DefaultListenAdmin, "listen", "admin")
	l := &s.Limits
	tomltree.Default(tree, &l.HeaderBytes, DefaultHeaderBytes, "limits", "header_bytes")
	tomltree.Default(tree, &l.BodyBytes, int64(DefaultBodyBytes), "limits", "body_bytes")
	tomltree.Default(tree, &l.ReadTimeout, api.Duration(DefaultReadTimeout), "limits", "read_timeout")
	tomltree.Default(tree, &l.RequestTimeout, api.Duration(DefaultRequestTimeout), "limits", "request_timeout")
	tomltree.Default(tree, &l.Streams, DefaultStreams, "limits", "streams")
	tomltree.Default(tree, &l.MinRate, int64(connbudget.DefaultMinRate), "limits", "min_rate")
	tomltree.Default(tree, &l.StallTime, api.Duration(connbudget.DefaultStallTime), "limits", "stall_time")
	tomltree.Default(tree, &l.WriteTimeout, api.Duration(connbudget.DefaultWriteTimeout), "limits", "write_timeout")
	tomltree.Default(tree, &s.Log.Level, DefaultLogLevel, "log", "level")
	tomltree.Default(tree, &s.Log.Format, DefaultLogFormat, "log", "format")
	tomltree.Default(tree, &s.StopDeadline, api.Duration(DefaultStopDeadline), "stop_deadline")
}
