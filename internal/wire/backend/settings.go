package backend

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"yokemast/balance"
	"yokemast/internal/control/pooling"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
)

// maxSetupMessage is the size in bytes of the largest message accepted in the answer to a change of settings.
const maxSetupMessage = 8 << 10

// SetupError reports that a connection could not be prepared for a batch. Nothing of the batch was sent.
type SetupError struct {
	Result   balance.Result // of an attempt that ends with it
	Reusable bool           // the connection itself is in order
	err      error
}

func (e *SetupError) Error() string { return "preparing the connection: " + e.err.Error() }

func (e *SetupError) Unwrap() error { return e.err }

var errMayNotBegin = errors.New("the time or the grounds of the attempt have ended")

// ApplySettings changes the connection's settings to those of a session and waits until the host has confirmed the change. A
// host that fails it would run what follows under the settings that the connection has from another session. It returns a
// *SetupError if the host did not confirm the change, or if the attempt must not begin any more after the wait. It must be called
// before a first batch, and before a later one if Session.CanChangeSettings holds.
func (h *Host) ApplySettings(s *pooling.Session) error {
	h.ConnState() // creates the state of a new connection
	changed, err := h.conn.applySettings(s, func(body []byte) { h.HandleStatement(body) })
	if err != nil {
		return &SetupError{Result: setupResult(err), err: err}
	}
	if !changed {
		return nil
	}
	h.attempt.b.cfg.Counters.SettingsChanged.Add(1)
	if !h.begun && !h.attempt.mayBegin(h.conn.clock.Now()) {
		return &SetupError{Result: balance.NotSent, Reusable: true, err: errMayNotBegin}
	}
	return nil
}

// clearSettings resets all settings that a pooled session has left on the connection, for a query that belongs to no session.
// It reports whether there were any. After an error the query must not be written to this connection.
func (c *conn) clearSettings(answerBy time.Duration) (changed bool, err error) {
	if c.state == nil || !c.state.HasSettings() {
		return false, nil
	}
	c.clean = false
	if err := c.SetReadDeadline(c.deadline(answerBy)); err != nil {
		return false, err
	}
	var r reply
	if _, err := c.applySettings(pooling.NewSession(nil), func(body []byte) { r.parseStatement(body); c.reportReplica(&r) }); err != nil {
		return false, err
	}
	c.clean = true
	return true, nil
}

// clearSettings prepares a connection for a query of the platform. now is a time at which the attempt could start, and start
// one at which it still can. If the query must not be written, it releases the connection and returns false; retry is then
// the result of tryConn.
func (attempt *attempt) clearSettings(c *conn, now time.Duration) (start time.Duration, cleared, retry bool) {
	changed, err := c.clearSettings(attempt.Deadline)
	if err == nil && !changed {
		return now, true, false
	}
	if now = attempt.b.cfg.Clock.Now(); err == nil && attempt.mayBegin(now) {
		return now, true, false
	}
	if retry = attempt.releaseUnsent(c); retry && timedOut(err) {
		attempt.end(exchange.Outcome{Outcome: balance.Outcome{Result: balance.TimedOut}})
		retry = false
	}
	return now, false, retry
}

// applySettings changes the connection's settings to those of a session. It reports whether a change was needed. After an
// error the connection's settings are unknown.
func (c *conn) applySettings(s *pooling.Session, handleStatus func(body []byte)) (changed bool, err error) {
	statements := c.state.SettingsStatements(s)
	if len(statements) == 0 {
		c.state.SettingsApplied(s)
		return false, nil
	}
	err = c.changeSettings(statements, s.Status, handleStatus)
	if err == nil && c.incoming.pastDeadline {
		err = os.ErrDeadlineExceeded
	}
	if err != nil {
		return false, err
	}
	c.state.SettingsApplied(s)
	return true, nil
}

// setupResult returns the result of an attempt whose connection could not be prepared because of err.
func setupResult(err error) balance.Result {
	var refusal *pg.Error
	switch {
	case errors.As(err, &refusal):
		if result := resultOf(refusal.Code); result != balance.Failed {
			return result
		}
		return balance.SetupFailed
	case timedOut(err):
		return balance.TimedOut
	}
	return balance.NoConnection
}

// changeSettings runs statements that set or reset settings as one query, and returns nil only if the answer confirms each of
// them, states the given transaction status and is followed by nothing. After an error the connection's settings are unknown.
// handleStatus is called with the body of each ParameterStatus. An error response is returned as *pg.Error.
func (c *conn) changeSettings(statements []string, status byte, handleStatus func(body []byte)) error {
	if _, err := c.Write(pg.AppendQuery(nil, strings.Join(statements, "; "))); err != nil {
		return err
	}
	var refusal *pg.Error
	confirmed := 0
	for {
		kind, body, err := pg.Read(c.in, maxSetupMessage)
		if err != nil {
			return err
		}
		switch kind {
		case pg.ParameterStatus:
			handleStatus(body)
		case pg.NoticeResponse, pg.NotificationResponse: // not meant for the session's client
		case pg.ErrorResponse:
			if refusal = pg.ReadError(body); len(refusal.Code) != 5 {
				return fmt.Errorf("%w: an error without a code", errMalformed)
			}
			if refusal.Fatal { // ends the host's session: ReadyForQuery need not follow
				return refusal
			}
		case pg.CommandComplete:
			if confirmed == len(statements) || !confirms(pg.ReadTag(body), statements[confirmed]) {
				return fmt.Errorf("%w: %q in the answer to %q", errMalformed, pg.ReadTag(body), statements)
			}
			confirmed++
		case pg.ReadyForQuery:
			switch {
			case refusal != nil:
				return refusal
			case confirmed < len(statements), string(body) != string(status), !c.alive():
				return fmt.Errorf("%w: %d of %d statements confirmed, status %q", errMalformed, confirmed, len(statements), body)
			}
			return nil
		default:
			return fmt.Errorf("%w: type %q in the answer to %q", errMalformed, kind, statements)
		}
	}
}

// confirms reports whether a command tag is that of a statement that sets or resets a setting.
func confirms(tag, statement string) bool {
	word, _, _ := strings.Cut(statement, " ")
	return tag == word
}
