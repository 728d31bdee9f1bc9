// Package peerpb contains the messages and the gRPC service that entry hosts use
// among themselves. It is generated from peer.proto with go generate.
package peerpb

//go:generate sh -c "cd ../../.. && go run github.com/bufbuild/buf/cmd/buf@v1.75.0 generate"
