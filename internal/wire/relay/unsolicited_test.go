package relay

import (
	"bytes"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"yokemast/balance"
	"yokemast/internal/control/pooling"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/pg"
)

// Guards against a second copy of an answer, or other bytes that no batch asked for, which are taken for the answer to a later
// batch of the same checkout.
func TestUnsolicitedInputAnswersNoLaterBatch(t *testing.T) {
	row := func(value string) []byte { return pg.AppendRow(nil, pg.Value{Data: []byte(value)}, "SELECT 1") }
	notification := pg.Append(nil, pg.NotificationResponse, []byte("\x00\x00\x00\x01channel\x00payload\x00"))
	for name, c := range map[string]struct {
		behind []byte // the answer to the first read
		served bool   // the second read is served
		relay  []byte // is in what the client receives
	}{
		"nothing":                   {nil, true, nil},
		"a second copy":             {pg.AppendReadyAs(row("first"), 'T'), false, nil},
		"a part of a second copy":   {pg.AppendReadyAs(row("first"), 'T')[:40], false, nil},
		"a second ReadyForQuery":    {pg.AppendReadyAs(nil, 'T'), false, nil},
		"an error":                  {pg.AppendError(nil, &pg.Error{Code: "XX000", Message: "late"}), false, nil},
		"a fatal error":             {pg.AppendError(nil, &pg.Error{Code: "57P01", Message: "late", Fatal: true}), false, nil},
		"noise":                     {[]byte("noise that is no message"), false, nil},
		"a notification":            {notification, true, notification},
		"a parameter":               {parameter("TimeZone", "UTC"), true, parameter("TimeZone", "UTC")},
		"a statement of the host":   {parameter("node_role", "leader"), true, nil},
		"a notification and a copy": {append(slices.Clone(notification), pg.AppendReadyAs(row("first"), 'T')...), false, nil},
	} {
		for _, mode := range []pooling.Mode{pooling.ByTransaction, pooling.BySession} {
			t.Run(name+", "+mode.String(), func(t *testing.T) {
				t.Parallel()
				status := byte('T')
				if mode == pooling.BySession {
					status = 'I'
				}
				h := startRecordingHost(t, func(query string) []byte {
					switch {
					case query == "SELECT 'first'":
						return append(pg.AppendReadyAs(row("first"), status), c.behind...)
					case strings.HasPrefix(query, "SELECT"):
						return pg.AppendReadyAs(row("second"), status)
					}
					return pg.AppendReadyAs(pg.AppendComplete(nil, "BEGIN"), status)
				})
				clock := newClock()
				b, to := startBackend(t, clock, h.address)
				var mu sync.Mutex
				var received []byte
				checkout := New(pooling.NewSession(nil), mode, func(b []byte) error {
					mu.Lock()
					defer mu.Unlock()
					received = append(received, b...)
					return nil
				}, queryBatch("BEGIN"))
				b.Send(exchange.Attempt{ID: "a", Server: "s", Sent: clock.Now(), Deadline: clock.Now() + time.Second, Command: checkout})
				for _, next := range []string{"SELECT 'first'", "SELECT 'second'"} {
					if d := <-checkout.Done(); !d.Keep {
						t.Fatalf("the checkout has ended before %s: %+v", next, d)
					}
					time.Sleep(20 * time.Millisecond) // what is behind an answer has arrived
					checkout.Next(queryBatch(next))
				}
				d := <-checkout.Done()
				checkout.Close()
				o := <-to
				mu.Lock()
				defer mu.Unlock()
				switch second := bytes.Contains(received, []byte("second")); {
				case d.Keep != c.served, second != c.served, bytes.Count(received, []byte("first")) != 1:
					t.Errorf("served %v with %+v: %q", second, d, received)
				case !bytes.Contains(received, c.relay):
					t.Errorf("the client received %q, want %q in it", received, c.relay)
				case !c.served && o.Result != balance.Reset:
					t.Errorf("outcome %v", o.Result)
				}
			})
		}
	}
}
