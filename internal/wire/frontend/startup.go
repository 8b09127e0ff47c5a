package frontend

import (
	"errors"
	"time"

	"yokemast/internal/wire/pg"
)

// startup reads the client's startup message and answers it. Bytes that the client sends after that message stay in the
// buffer. It returns false if the session ends.
func (c *session) startup(timeout time.Duration) bool {
	c.mu.Lock()
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	c.messageDeadline, c.hasDeadline = time.Now().Add(max(timeout, headTimeout)), true
	c.mu.Unlock()
	for range 4 { // at most one request for each kind of encryption precedes the startup message
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
			c.hasDeadline = false
			c.mu.Unlock()
			c.writeDeadline = time.Time{}
			if c.s.cfg.Pool != nil {
				if p := c.s.cfg.Pool(c.user, parameters["database"]); p != nil {
					c.general = newGeneralSession(c, p, parameters)
					c.s.register(c)
					return c.write(pg.AppendStartupResponseWith(nil, kind, pg.DefaultParameters(), c.general.key))
				}
			}
			return c.write(pg.AppendStartupResponse(nil, kind))
		}
	}
	return false
}

// reject performs the startup and then answers with the error that the connection limit is reached.
func (c *session) reject() {
	if !c.startup(lingerTimeout) {
		return
	}
	e := pg.Refusal("too many connections", c.s.retryAfter())
	e.Fatal = true
	if c.write(pg.AppendError(nil, e)) {
		c.linger()
	}
}
