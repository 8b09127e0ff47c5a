package reload

import (
	"testing"
	"time"

	"yokemast/balance"
)

func TestOldBoundAppliesUntilNewSettingsBind(t *testing.T) {
	view := balance.Class{Name: "view", Need: balance.Bounded, Bound: 200 * time.Millisecond}
	v := New(balance.Settings{Classes: []balance.Class{view}}, time.Second)
	loose := view
	loose.Need, loose.Bound = balance.AnyData, 0
	v.Update(0, balance.Settings{Classes: []balance.Class{loose}})
	if got := v.InForce().Classes[0]; got.Need != balance.Bounded || got.Bound != view.Bound {
		t.Errorf("a read may be served from data of any age before the new settings are binding: %+v", got)
	}
}

const bound = 200 * time.Millisecond

func TestStrictestNeed(t *testing.T) {
	for _, c := range []struct{ old, new, want balance.Need }{
		{balance.Session, balance.AnyData, balance.Session},
		{balance.AnyData, balance.Session, balance.Session},
		{balance.Latest, balance.AnyData, balance.Latest},
		{balance.Latest, balance.Bounded, balance.Latest},
		{balance.Latest, balance.Session, balance.Latest},
		{balance.Session, balance.Latest, balance.Latest},
		{balance.Bounded, balance.Session, balance.Session},
		{balance.Session, balance.Bounded, balance.Session},
		{balance.Write, balance.AnyData, balance.AnyData},
		{balance.Latest, balance.Write, balance.Write},
	} {
		class := func(need balance.Need) balance.Settings {
			a := balance.Class{Name: "a", Need: need}
			if need == balance.Bounded {
				a.Bound = bound
			}
			return balance.Settings{Classes: []balance.Class{a}}
		}
		v := New(class(c.old), time.Second)
		v.Update(0, class(c.new))
		if got := v.InForce().Classes[0]; got.Need != c.want {
			t.Errorf("from need %d to %d: %d, want %d", c.old, c.new, got.Need, c.want)
		} else if got.Need == balance.Session && got.Bound != class(c.old).Classes[0].Bound+class(c.new).Classes[0].Bound {
			t.Errorf("from need %d to %d: a bound of %s", c.old, c.new, got.Bound)
		}
		if v.Settle(time.Second); v.InForce().Classes[0].Need != c.new {
			t.Errorf("from need %d to %d: %d after the grace period", c.old, c.new, v.InForce().Classes[0].Need)
		}
	}
}

func TestPermissionsNeedBothVersions(t *testing.T) {
	lax, strict := balance.Settings{DroppedStayOpen: true, TokensCarried: true}, balance.Settings{}
	for _, c := range []struct{ old, new balance.Settings }{{lax, strict}, {strict, lax}} {
		v := New(c.old, time.Second)
		v.Update(0, c.new)
		if got := v.InForce(); got.DroppedStayOpen || got.TokensCarried {
			t.Errorf("from %+v to %+v: %+v", c.old, c.new, got)
		}
	}
}
