package backend

import (
	"net"
	"testing"

	"yokemast/balance"
	"yokemast/internal/wire/pg"
)

func TestAnAnswerThatComesTwiceServesNoOtherRequest(t *testing.T) {
	answer := func(value string) []byte {
		return append(role("leader"), pg.AppendReady(pg.AppendRow(nil, pg.Value{Data: []byte(value)}, ""))...)
	}
	r := newRig(t, func(c net.Conn, n int64) {
		if n == 1 { // the first answer once more, later than a connection rests
			_, _ = c.Write(answer("first"))
		}
		_, _ = c.Write(answer([]string{"first", "second"}[n]))
	})
	for _, id := range []string{"first", "second"} {
		r.send(id, balance.Grounds{})
		o := wait(t, r.outcomes, id)
		if o.Result != balance.OK {
			continue // it may fail
		}
		if got := string(o.Value.(pg.Value).Data); got != id {
			t.Errorf("request %s is served with the answer of request %s", id, got)
		}
	}
}
