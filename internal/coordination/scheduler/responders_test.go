package scheduler

import "quillshunt/internal/protocol"

// machineResponder is the index of the machine that sent a heartbeat. Tests that execute the effects
// themselves read the index from the HeartbeatReply and do not call the methods.
type machineResponder int

func (machineResponder) Accept(protocol.HeartbeatReply) {}
func (machineResponder) Redirect(protocol.Redirect)     {}
func (machineResponder) Reject()                        {}

// responderFunc is called with the reply to a heartbeat, or with nil if the heartbeat was rejected or
// redirected.
type responderFunc func(*protocol.HeartbeatReply)

func (f responderFunc) Accept(reply protocol.HeartbeatReply) { f(&reply) }
func (f responderFunc) Redirect(protocol.Redirect)           { f(nil) }
func (f responderFunc) Reject()                              { f(nil) }
