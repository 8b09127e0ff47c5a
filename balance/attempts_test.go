package balance

import (
	"testing"
	"time"
)

func TestNoRepeatedEffect(t *testing.T) {
	for _, c := range []struct {
		name, class string
		res         Result
		wait        time.Duration // before the outcome
		retried     bool
		final       string
	}{
		{"possibly executed unsafe request fails", "save", Failed, 0, false, "fail"},
		{"unsafe request fails after a reset", "save", Reset, 0, false, "fail"},
		{"unsafe request that was not executed is retried", "save", NoConnection, 0, true, ""},
		{"possibly executed keyed request is retried", "keyed", Failed, 0, true, ""},
		{"keyed request fails after its key has expired", "keyed", Failed, 2 * time.Second, false, "fail"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newRig(t, nil)
			id, acts := g.request(c.class, 0)
			want(t, "first", sends(acts), []string{"p"})
			g.now += c.wait
			acts = append(g.answer(id, "p", 0, c.res, Unknown), g.advance(200*ms)...)
			if again := len(sends(acts)) > 0; again != c.retried {
				t.Errorf("sent again %v, want %v", again, c.retried)
			}
			if f := finals(acts); c.final != "" && (len(f) != 1 || f[0] != c.final+" "+id) {
				t.Errorf("final %q, want %s", f, c.final)
			}
		})
	}
}

// Guards against a second execution of a request that lacks the key of its class, and against telling its client that a repeat
// does no harm.
func TestUnkeyedRequestIsNotRepeated(t *testing.T) {
	inAllMembers := func(s *Settings) {
		for i := range s.Classes {
			s.Classes[i].Scope = ScopeAll
		}
	}
	for _, c := range []struct {
		name    string
		edit    func(*Request)
		res     Result
		retried bool
		final   string
	}{
		{"keyed", func(*Request) {}, Reset, true, ""},
		{"unkeyed", func(r *Request) { r.Unkeyed = true }, Reset, false, "fail"},
		{"unkeyed, garbled", func(r *Request) { r.Unkeyed = true }, Garbled, false, "fail"},
		{"unkeyed, not executed", func(r *Request) { r.Unkeyed = true }, SetupFailed, true, ""},
		{"checkout", func(r *Request) { r.Checkout = true }, Reset, false, "fail"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newRig(t, inAllMembers)
			id, acts := g.requestWith("keyed", c.edit)
			want(t, "first", sends(acts), []string{"p"})
			acts = append(g.answer(id, "p", 0, c.res, Unknown), g.advance(200*ms)...)
			if again := len(sends(acts)) > 0; again != c.retried {
				t.Errorf("sent again %v, want %v", again, c.retried)
			}
			if f := finals(acts); c.final != "" && (len(f) != 1 || f[0] != c.final+" "+id) {
				t.Errorf("final %q, want %s", f, c.final)
			}
		})
	}
}

func TestOneFinalAnswer(t *testing.T) {
	g := newRig(t, nil)
	id, _ := g.request("save", 0)
	seq := g.r.requests[id].seq
	g.now += 4 * time.Second
	want(t, "deadline", finals(g.handle(Timer{seq})), []string{"fail " + id})
	var rest []Action
	rest = append(rest, g.handle(Timer{seq})...)
	rest = append(rest, g.handle(Outcome{ID: id, Server: "p", Result: TimedOut, Final: true})...)
	rest = append(rest, g.handle(Outcome{ID: id, Server: "p", Result: TimedOut})...)
	rest = append(rest, g.handle(RequestCanceled{id})...)
	if len(rest) != 0 {
		t.Errorf("after the final answer: %v", rest)
	}
	if len(g.r.requests)+len(g.r.requestsBySeq) != 0 {
		t.Error("the ended request is still held")
	}
}
