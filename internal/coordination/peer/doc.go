// Package peer is the calls between the controllers of one deployment, over gRPC, and the operators'
// read-only view of it.
//
// Every controller runs a Server for the others and has Peers, the connections to them. The leader
// asks for votes and offers its leadership; the others ask it for task counts, relay workers'
// heartbeats to it, and have it confirm cancellations. A call is made once, within a time limit of
// internal/limits; whoever needs a retry makes it.
package peer
