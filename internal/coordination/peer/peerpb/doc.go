// Package peerpb is the code generated from peer.proto: the calls between controllers, and the
// operators' view of the deployment. To generate it anew, run in the module's root:
//
//	protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative \
//		internal/coordination/peer/peerpb/peer.proto
package peerpb
