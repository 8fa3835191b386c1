// Package scheduler decides: which task runs where, which tasks give way, which
// machines are rented and returned, and what has to be written down first. It is a
// deterministic state machine, Step(event, now) -> effects, without clocks, I/O,
// goroutines or randomness of its own.
//
// The rule that keeps a task from running twice: a task is free, or bound to one
// session of one machine, and only evidence frees it (see free and its callers).
package scheduler
