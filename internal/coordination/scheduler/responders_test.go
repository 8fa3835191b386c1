package scheduler

import "quillshunt/internal/protocol"

// machineResponder is the index of the machine that has sent a heartbeat. Tests that carry out the
// effects themselves look at the index; its methods are not called.
type machineResponder int

func (machineResponder) Accept(protocol.HeartbeatReply) {}
func (machineResponder) Redirect(protocol.Redirect)     {}
func (machineResponder) Reject()                        {}

// responderFunc gets the answer to a heartbeat, or nil if it renews no lease.
type responderFunc func(*protocol.HeartbeatReply)

func (f responderFunc) Accept(reply protocol.HeartbeatReply) { f(&reply) }
func (f responderFunc) Redirect(protocol.Redirect)           { f(nil) }
func (f responderFunc) Reject()                              { f(nil) }
