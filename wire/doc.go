// Package wire defines the messages between the processes of mulberryfork and
// converts them to and from the types of package api.
//
// The generated files are committed. After a change to wire.proto run go generate,
// which needs protoc, protoc-gen-go and protoc-gen-go-drpc.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative wire.proto
