// Package peer implements the gRPC calls between the controllers of one deployment, and the read-only
// status call for operators.
//
// Every controller runs a Server and calls the servers of the other controllers through Peers. The leader
// requests votes, and offers its leadership when it resigns. The other controllers ask the leader for
// task counts and for the confirmation of cancellations, and relay workers' heartbeats to it. Any
// controller may ask the others whether they can reach the state service. Calls have timeouts from
// internal/limits and are not retried by this package.
package peer
