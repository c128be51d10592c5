// Package wire holds the generated messages between the daemons of one fleet.
package wire

//go:generate sh -c "PATH=$(dirname $(go tool -n protoc-gen-go)):$PATH protoc --go_out=. --go_opt=paths=source_relative wire.proto"
