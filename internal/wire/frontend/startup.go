package frontend

import (
	"errors"
	"time"

	"yokemast/internal/wire/pg"
)

// start goes through the startup; what a client sends behind its startup message stays in the buffer.
func (c *session) start(within time.Duration) bool {
	c.mu.Lock()
	_ = c.conn.SetDeadline(time.Now().Add(within))
	c.cutAt, c.timed = time.Now().Add(max(within, headWithin)), true
	c.mu.Unlock()
	for range 4 { // at most one request for each kind of encryption comes first
		kind, parameters, err := pg.ReadStartup(c.in)
		var refused *pg.Error
		switch {
		case errors.As(err, &refused):
			c.s.cfg.Counters.BadMessages.Add(1)
			if c.write(pg.AppendError(nil, refused)) {
				c.linger()
			}
			return false
		case err == nil && kind == pg.StartCancel:
			if key, ok := parameters.CancelKey(); ok {
				c.s.cancel(key)
			}
			return false
		case err != nil:
			return false
		case kind == pg.StartEncrypt:
			if !c.write([]byte{'N'}) {
				return false
			}
		default:
			c.user = parameters["user"]
			c.mu.Lock()
			_ = c.conn.SetDeadline(time.Time{})
			c.timed = false
			c.mu.Unlock()
			c.writeBy = time.Time{}
			if c.s.cfg.Pool != nil {
				if p := c.s.cfg.Pool(c.user, parameters["database"]); p != nil {
					c.general = newGeneral(c, p, parameters)
					c.s.register(c)
					return c.write(pg.AppendStartupResponseWith(nil, kind, pg.DefaultParameters(), c.general.key))
				}
			}
			return c.write(pg.AppendStartupResponse(nil, kind))
		}
	}
	return false
}

// reject tells a client that there is no room.
func (c *session) reject() {
	if !c.start(lingerFor) {
		return
	}
	e := pg.Refusal("too many connections", c.s.retryAfter())
	e.Fatal = true
	if c.write(pg.AppendError(nil, e)) {
		c.linger()
	}
}
