package cells

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"yokemast/balance"
)

func TestAMoveInsideItsGroup(t *testing.T) {
	g := newRig(t, nil)
	from, to := g.s.byName("coast"), g.s.byName("hills")
	g.move(Order{Tenant: "apollo", To: "hills"})
	g.want("asked for", "planned", "warming")
	if _, err := g.s.Move(g.now, Order{Tenant: "apollo", To: "city"}); !errors.Is(err, ErrMoving) {
		t.Errorf("a second move: %v", err)
	}
	g.pass(500 * ms)
	over := 0
	for range 100 {
		v := g.ask("apollo", false)
		if v.Cell == to.id {
			over++
		}
		g.s.Done(g.now, v.Ticket)
	}
	if over < 45 || over > 55 {
		t.Errorf("%d of 100 reads go over at half time", over)
	}
	if v := g.ask("apollo", true); v.Kind != Admitted || v.Cell != from.id {
		t.Errorf("a write: %+v", v)
	}
	g.pass(time.Second)
	g.want("in time", "fenced", "settled")
	if v := g.ask("apollo", true); v.Kind != Admitted || v.Cell != to.id || v.Since != 0 {
		t.Errorf("a write after it: %+v", v)
	}
	if from.active != 0 || to.active != 1 {
		t.Errorf("active tenants: %d and %d", from.active, to.active)
	}
}

func TestReadsGoOverAsHostsWarm(t *testing.T) {
	g := newRig(t, nil)
	g.move(Order{Tenant: "apollo", To: "hills"})
	cold := func(w float64) { g.look(func(x *balance.MemberView) { x.WarmUpWeight = w }) }
	cold(0.25)
	g.pass(10 * time.Second)
	g.want("with cold hosts", "planned", "warming")
	over := 0
	for range 100 {
		if v := g.ask("apollo", false); v.Cell == g.s.byName("hills").id {
			over++
		}
	}
	if over > 25 {
		t.Errorf("%d of 100 reads go to hosts that have a quarter of their capacity", over)
	}
	cold(1)
	g.pass(100 * ms)
	g.want("once warm", "fenced", "settled")
	g.move(Order{Tenant: "apollo", To: "coast"})
	cold(0.9)
	g.pass(2 * time.Minute)
	g.want("never warm", "planned", "warming", "aborted")
	if v := g.ask("apollo", false); v.Cell != g.s.byName("hills").id {
		t.Error("after the abort it is served elsewhere than before")
	}
}

func TestAWriteInFlightWhileItsTenantMoves(t *testing.T) {
	across := Order{Tenant: "apollo", FromGroup: 1, ToGroup: 2}
	for name, c := range map[string]struct {
		end   time.Duration // of the write; 0: it hangs
		abort bool
		want  []string
		group int // of the next write
	}{
		"it ends":                     {time.Second, false, []string{"settled", "release q2"}, 2},
		"it hangs past the fence":     {0, false, []string{"give up q2", "aborted"}, 1},
		"the move is aborted by hand": {0, true, []string{"aborted", "release q2"}, 1},
	} {
		g := newRig(t, nil)
		first := g.ask("apollo", true)
		g.move(across)
		g.want(name, "planned", "warming", "fenced")
		second := g.ask("apollo", true)
		if first.Kind != Admitted || first.Group != 1 || second.Kind != Held {
			t.Fatalf("%s: %+v, %+v", name, first, second)
		}
		if v := g.ask("apollo", false); v.Kind != Admitted || v.Group != 1 {
			t.Errorf("%s: a read during the fence: %+v", name, v)
		}
		switch {
		case c.abort:
			acts, err := g.s.Abort(g.now, "apollo", "by hand")
			if g.acts = append(g.acts, acts...); err != nil {
				t.Error(err)
			}
		case c.end > 0:
			g.pass(c.end)
			g.s.Done(g.now, first.Ticket)
			g.pass(100 * ms)
		default:
			g.pass(6 * time.Second)
		}
		g.want(name, c.want...)
		if v := g.s.Resume(g.now, Request{ID: "q2", Group: 1, Write: true, Deadline: g.now + time.Second}, second.Ticket); v.Kind != Admitted ||
			v.Group != c.group || (v.Since > 0) != (c.group == 2) {
			t.Errorf("%s: released: %+v", name, v)
		}
	}
}

func TestTheNewPrimaryDiesDuringTheFence(t *testing.T) {
	g := newRig(t, nil)
	write := g.ask("apollo", true)
	g.move(Order{Tenant: "apollo", FromGroup: 1, ToGroup: 2})
	headless := func(x *balance.MemberView) { x.Primary = x.Primary && x.Group == 1 }
	g.look(headless)
	g.s.Done(g.now, write.Ticket)
	g.pass(time.Second)
	g.want("without a primary", "planned", "warming", "fenced")
	if why := g.s.Report().Moves[0].Reason; !strings.Contains(why, "no primary") {
		t.Errorf("it waits for %q", why)
	}
	g.look(nil)
	g.pass(100 * ms)
	g.want("with the next one", "settled")

	g = newRig(t, nil)
	g.look(headless)
	g.move(Order{Tenant: "apollo", FromGroup: 1, ToGroup: 2})
	g.pass(10 * time.Second)
	g.want("it never comes", "planned", "warming", "fenced", "aborted")
	if v := g.ask("apollo", true); v.Kind != Admitted || v.Group != 1 {
		t.Errorf("the next write: %+v", v)
	}
}

func TestAFenceHoldsOnlySoMany(t *testing.T) {
	g := newRig(t, func(c *Config) { c.Moves.Hold = 2 })
	g.ask("apollo", true)
	g.move(Order{Tenant: "apollo", FromGroup: 1, ToGroup: 2})
	got := ""
	for range 4 {
		got += string("goh"[g.ask("apollo", true).Kind])
	}
	if got != "hhoo" || g.s.Shed != 2 {
		t.Errorf("writes at the fence: %s, %d shed", got, g.s.Shed)
	}
}

func TestMovesWaitTheirTurnAndForConfirmation(t *testing.T) {
	g := newRig(t, func(c *Config) { c.Moves.AtOnce = 1 })
	g.move(Order{Tenant: "apollo", FromGroup: 1, ToGroup: 2, Confirm: true})
	g.move(Order{Tenant: "medi", To: "coast"})
	g.pass(8 * time.Second)
	g.want("one at once", "planned", "warming", "fenced", "planned")
	acts, err := g.s.Confirm(g.now, "apollo")
	if g.acts = append(g.acts, acts...); err != nil {
		t.Error(err)
	}
	g.pass(2 * time.Second)
	g.want("then the other", "settled", "warming", "fenced", "settled")
	for want, o := range map[error]Order{ErrNoTenant: {Tenant: "x"}, ErrNoCell: {Tenant: "medi", To: "x"},
		ErrThere: {Tenant: "medi", To: "coast"}, ErrNoGroup: {Tenant: "medi", FromGroup: 1, ToGroup: 9}} {
		if _, err := g.s.Move(g.now, o); !errors.Is(err, want) {
			t.Errorf("%+v: %v", o, err)
		}
	}
	if _, err := g.s.Abort(g.now, "apollo", "late"); !errors.Is(err, ErrNotMoving) {
		t.Errorf("abort of a settled move: %v", err)
	}
}

func TestMovesSurviveANewConfiguration(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Config)
		want   []string
		cell   string // of the tenant in the end
	}{
		"nothing of it changes":     {func(c *Config) { c.Cells = append(c.Cells, Cell{Name: "new", Weight: 1}) }, []string{"fenced", "settled"}, "hills"},
		"its cell leaves":           {func(c *Config) { c.Cells = slices.Delete(c.Cells, 1, 2); c.Tenants = c.Tenants[:1] }, []string{"aborted"}, "coast"},
		"its tenant leaves":         {func(c *Config) { c.Tenants = c.Tenants[1:] }, []string{"aborted"}, ""},
		"the file names a new cell": {func(c *Config) { c.Tenants[0].Cell = "city" }, []string{"aborted"}, "city"},
	} {
		g := newRig(t, nil)
		g.move(Order{Tenant: "apollo", To: "hills"})
		held := g.ask("apollo", true)
		g.told()
		next := config()
		c.change(&next)
		acts, err := g.s.Configure(g.now, next)
		if g.acts = append(g.acts, acts...); err != nil {
			t.Fatal(err)
		}
		g.pass(2 * time.Second)
		g.want(name, c.want...)
		g.s.Done(g.now, held.Ticket)
		if owner := g.s.dir.named("apollo"); c.cell != "" && (owner.cell.Name != c.cell || owner.held != 0 || owner.cell.active != 0) {
			t.Errorf("%s: it is in %s and holds %d", name, owner.cell.Name, owner.held)
		}
		// What a move has settled stands for as long as the file says what it did before.
		if _, err := g.s.Configure(g.now, next); err != nil {
			t.Fatal(err)
		}
		if owner := g.s.dir.named("apollo"); c.cell != "" && owner.cell.Name != c.cell {
			t.Errorf("%s: the next SIGHUP puts it into %s", name, owner.cell.Name)
		}
	}
}

func TestPlanTellsWhatWouldChange(t *testing.T) {
	g := newRig(t, nil)
	before := g.s.Report()
	for _, r := range before.Cells {
		leaves := r.Hosts["1"][0]
		f, err := g.s.Plan(nil, []string{leaves})
		if err != nil {
			t.Fatal(err)
		}
		i := slices.IndexFunc(f.Changes, func(c Change) bool { return c.Cell == r.Cell })
		if i < 0 || !slices.Equal(f.Changes[i].Lost, []string{leaves}) || len(f.Changes[i].Gained) != 1 {
			t.Errorf("%s without %s: %+v", r.Cell, leaves, f.Changes)
		}
		rest := slices.DeleteFunc(twoGroups(), func(m balance.Member) bool { return m.Server == leaves })
		other := newRig(t, nil)
		other.s.UpdateMembers(g.now, true, rest)
		for _, x := range other.s.Report().Cells {
			if x.Cell == r.Cell && !slices.Contains(x.Hosts["1"], f.Changes[i].Gained[0]) {
				t.Errorf("the plan says %v, it becomes %v", f.Changes[i], x.Hosts["1"])
			}
		}
	}
	if diff := cmp.Diff(before, g.s.Report(), cmp.AllowUnexported(Move{})); diff != "" {
		t.Errorf("planning changes something: %s", diff)
	}
	for _, bad := range [][]string{nil, {"nobody"}} {
		if _, err := g.s.Plan(nil, bad); err == nil {
			t.Errorf("planned for %v", bad)
		}
	}
	if _, err := g.s.Plan(twoGroups()[:1], nil); err == nil {
		t.Error("a listed host comes")
	}
}
