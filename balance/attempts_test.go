package balance

import (
	"testing"
	"time"
)

func TestNoEffectTwice(t *testing.T) {
	for _, c := range []struct {
		name, class string
		res         Result
		wait        time.Duration // before the outcome
		again       bool
		final       string
	}{
		{"unsafe that may have run fails", "save", Failed, 0, false, "fail"},
		{"unsafe reset fails", "save", Reset, 0, false, "fail"},
		{"unsafe that never ran goes again", "save", NoConnection, 0, true, ""},
		{"keyed that may have run goes again", "keyed", Failed, 0, true, ""},
		{"keyed past its window fails", "keyed", Failed, 2 * time.Second, false, "fail"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newRig(t, nil)
			id, acts := g.ask(c.class, 0)
			want(t, "first", sends(acts), []string{"p"})
			g.now += c.wait
			acts = append(g.answer(id, "p", 0, c.res, Unknown), g.beat(200*ms)...)
			if again := len(sends(acts)) > 0; again != c.again {
				t.Errorf("sent again %v, want %v", again, c.again)
			}
			if f := finals(acts); c.final != "" && (len(f) != 1 || f[0] != c.final+" "+id) {
				t.Errorf("final %q, want %s", f, c.final)
			}
		})
	}
}

func TestOneFinalAnswer(t *testing.T) {
	g := newRig(t, nil)
	id, _ := g.ask("save", 0)
	seq := g.r.reqs[id].seq
	g.now += 4 * time.Second
	want(t, "deadline", finals(g.do(Timer{seq})), []string{"fail " + id})
	var rest []Action
	rest = append(rest, g.do(Timer{seq})...)
	rest = append(rest, g.do(Outcome{ID: id, Server: "p", Result: TimedOut, Final: true})...)
	rest = append(rest, g.do(Outcome{ID: id, Server: "p", Result: TimedOut})...)
	rest = append(rest, g.do(RequestCanceled{id})...)
	if len(rest) != 0 {
		t.Errorf("after the final answer: %v", rest)
	}
	if len(g.r.reqs)+len(g.r.seqs) != 0 {
		t.Error("the ended request is still held")
	}
}
