// Package wire holds the messages between the processes of mulberryfork and
// converts them to and from the types of package api.
//
// The generated files are committed. After a change of wire.proto run
// go generate with protoc, protoc-gen-go and protoc-gen-go-drpc installed.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative wire.proto
