// Package api holds what services of mulberryfork tell each other: interfaces,
// typed messages and typed failures. It knows no transport and no encoding.
package api
