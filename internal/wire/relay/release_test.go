package relay

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"yokemast/internal/control/pooling"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
)

// Guards against a client that has its answer while its checkout still counts in the pool: another session that asks because of
// that answer is refused. The end of the answer must come with Done, on which the session counts the checkout out.
func TestEndOfAnswerComesWithEndOfCheckout(t *testing.T) {
	transaction := []string{"BEGIN", "ROLLBACK"}
	withoutEnd := len(pg.AppendRow(nil, pg.Value{}, "SELECT 1"))
	for name, c := range map[string]struct {
		queries []string
		size    int // of the value that a SELECT returns, in bytes
	}{
		"a short answer":            {[]string{"SELECT 1"}, 10},
		"an end that fills a write": {[]string{"SELECT 1"}, flushSize - withoutEnd - 1},
		"a row in pieces":           {[]string{"SELECT 1"}, 4 * maxBody},
		"an error":                  {[]string{"fail"}, 0},
		"a transaction":             {transaction, 0},
		"two transactions in turn":  {slices.Concat(transaction, transaction), 0},
	} {
		t.Run(name, func(t *testing.T) {
			status := byte('I')
			h := startRecordingHost(t, func(query string) []byte {
				switch query {
				case "BEGIN":
					status = 'T'
					return pg.AppendReadyAs(pg.AppendComplete(nil, query), status)
				case "ROLLBACK":
					status = 'I'
					return pg.AppendReadyAs(pg.AppendComplete(nil, query), status)
				case "fail":
					return pg.AppendReadyAs(pg.AppendError(nil, &pg.Error{Code: "42601", Message: "no"}), status)
				}
				return pg.AppendReadyAs(pg.AppendRow(nil, pg.Value{Data: make([]byte, c.size)}, "SELECT 1"), status)
			})
			clock := newClock()
			b, to := startBackend(t, clock, h.address)
			session := pooling.NewSession(nil)
			for remaining := c.queries; len(remaining) > 0; {
				var received []byte
				checkout := New(session, pooling.ByTransaction, func(b []byte) error {
					if received = append(received, b...); bytes.HasSuffix(received, pg.AppendReady(nil)) {
						t.Error("the relay has written the end of the answer")
					}
					return nil
				}, queryBatch(remaining[0]))
				checkout.LeaveRest = true
				b.Send(exchange.Attempt{ID: "a", Server: "s", Sent: clock.Now(), Deadline: clock.Now() + time.Second, Command: checkout})
				d := <-checkout.Done()
				for remaining = remaining[1:]; d.Keep; remaining = remaining[1:] {
					if len(d.Rest) > 0 {
						t.Errorf("%q is left of an answer within a transaction", d.Rest)
					}
					checkout.Next(queryBatch(remaining[0]))
					d = <-checkout.Done()
				}
				if o := <-to; d.Err != nil || !bytes.HasSuffix(d.Rest, pg.AppendReady(nil)) {
					t.Errorf("%+v, outcome %v, %d bytes received", d, o.Result, len(received))
				}
			}
		})
	}
}
