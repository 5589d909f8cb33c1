// Package wire holds the protobuf messages exchanged between the processes of
// the system. Generated code is committed; to regenerate it, install protoc and
// protoc-gen-go and run go generate in this folder.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative header.proto wire.proto
