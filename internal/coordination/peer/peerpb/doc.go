// Package peerpb is the generated code of the messages and services in peer.proto: what controllers say to each other, and the
// operators' view.
package peerpb
