package backend

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"yokemast/balance"
	"yokemast/internal/control/pooling"
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
// *SetupError if the host did not confirm the change, or if the attempt must not go on after the wait. Session.CanChangeSettings
// must hold.
func (h *Host) ApplySettings(s *pooling.Session) error {
	state := h.ConnState()
	statements := state.SettingsStatements(s)
	if len(statements) == 0 {
		return nil
	}
	err := h.conn.changeSettings(statements, s.Status, func(body []byte) { h.HandleStatement(body) })
	if err == nil && h.PastDeadline() {
		err = os.ErrDeadlineExceeded
	}
	if err != nil {
		return &SetupError{Result: setupResult(err), err: err}
	}
	state.SettingsApplied(s)
	h.attempt.b.cfg.Counters.SettingsChanged.Add(1)
	if !h.attempt.mayBegin() {
		return &SetupError{Result: balance.NotSent, Reusable: true, err: errMayNotBegin}
	}
	return nil
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
