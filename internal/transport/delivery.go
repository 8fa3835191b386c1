package transport

import "time"

// Delivery says what became of the response to a request.
type Delivery struct {
	Written bool          // false: the connection ended before the response was written
	Elapsed time.Duration // since the first bytes of the request were read
}

// OnDelivery sets a function that is called once, when the response has been written or the connection has
// ended. It may be called only while the handler runs. The function runs in the goroutine that owns the
// connection and must not block.
func (r *Responder) OnDelivery(notify func(Delivery)) { r.conn.onDelivery = notify }

// finishDelivery notifies the handler of the current request, if it asked for that, of what became of its
// response.
func (c *serverConn) finishDelivery(written bool) {
	notify := c.onDelivery
	if notify == nil {
		return
	}
	c.onDelivery = nil
	notify(Delivery{Written: written, Elapsed: time.Since(c.requestArrivedAt)})
}
