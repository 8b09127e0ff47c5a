package reload

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"yokemast/balance"
)

const (
	ms    = time.Millisecond
	grace = 1200 * ms
)

func settings(attempts int, classes ...balance.Class) balance.Settings {
	return balance.Settings{MaxAttempts: attempts, Classes: classes}
}

func class(name string, e balance.Effect, bound time.Duration) balance.Class {
	return balance.Class{Name: name, Need: balance.Bounded, Effect: e, Bound: bound, Deadline: time.Second}
}

func names(s balance.Settings) (out []string) {
	for _, c := range s.Classes {
		out = append(out, c.Name)
	}
	return out
}

func TestGracePeriod(t *testing.T) {
	v := New(settings(10, class("a", balance.Safe, 500*ms), class("b", balance.Safe, 500*ms)), grace)
	if v.Update(0, settings(10, class("a", balance.Safe, 500*ms), class("b", balance.Safe, 500*ms))) {
		t.Error("an identical version is reported as a change")
	}
	if !v.Update(1000*ms, settings(3, class("a", balance.Unsafe, 300*ms), class("c", balance.Safe, 100*ms))) {
		t.Error("a different version is not reported as a change")
	}
	want := settings(3, class("a", balance.Unsafe, 300*ms), class("c", balance.Safe, 100*ms), class("b", balance.Safe, 500*ms))
	if d := cmp.Diff(want, v.InForce()); d != "" {
		t.Errorf("in the grace period: %s", d)
	}
	if v.Settle(2199*ms) || !v.Settle(2200*ms) || v.Settle(2200*ms) {
		t.Error("the version is not settled exactly once, at the end of the grace period")
	}
	if got := names(v.InForce()); !slices.Equal(got, []string{"a", "c"}) {
		t.Errorf("after the grace period: %q", got)
	}
	// A less strict value applies from the end of the grace period.
	v.Update(3000*ms, settings(9, class("a", balance.Safe, 900*ms), class("c", balance.Safe, 100*ms)))
	if a := v.InForce().Classes[0]; a.Effect != balance.Unsafe || a.Bound != 300*ms || v.InForce().MaxAttempts != 3 {
		t.Errorf("the less strict value applies in the grace period: %+v", a)
	}
	v.Settle(4200 * ms)
	if a := v.InForce().Classes[0]; a.Effect != balance.Safe || a.Bound != 900*ms || v.InForce().MaxAttempts != 9 {
		t.Errorf("after the grace period: %+v", a)
	}
}

// maxDataAge returns the maximum age of data for a class of reads, apart from the writes of their own
// session.
func maxDataAge(c balance.Class) time.Duration {
	switch {
	case c.Need == balance.Latest:
		return 0
	case c.Need == balance.AnyData || c.Need == balance.Session && c.Bound == 0:
		return time.Hour
	}
	return c.Bound
}

// For any versions at any times, the settings in force must comply with every version under which a request
// may have been sent: those that applied within the last grace period, and the newest.
func TestSettingsComplyWithAllVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) balance.Settings {
			s := settings(rapid.IntRange(1, 10).Draw(t, label+" attempts"))
			for i := range rapid.IntRange(1, 4).Draw(t, label+" classes") {
				c := class(fmt.Sprint("k", i), balance.Effect(rapid.IntRange(0, 2).Draw(t, "effect")),
					time.Duration(rapid.IntRange(1, 9).Draw(t, "bound"))*100*ms)
				if c.Need = rapid.SampledFrom([]balance.Need{balance.AnyData, balance.Bounded, balance.Session, balance.Latest}).Draw(t, "need"); c.Need != balance.Bounded {
					c.Bound = 0
				}
				s.Classes = append(s.Classes, c)
			}
			return s
		}
		type update struct {
			at time.Duration
			s  balance.Settings
		}
		first := draw("first")
		history, now, v := []update{{-grace, first}}, time.Duration(0), New(first, grace)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 15).Draw(t, "pause")) * 100 * ms
			v.Settle(now)
			if rapid.Bool().Draw(t, "reload") {
				s := draw("next")
				v.Update(now, s)
				history = append(history, update{now, s})
			}
			newest := len(history) - 1
			for i, h := range history {
				// A version is binding until a grace period after its successor was received.
				if i < newest && history[i+1].at+grace <= now {
					continue
				}
				for _, c := range h.s.Classes {
					j := slices.IndexFunc(v.InForce().Classes, func(o balance.Class) bool { return o.Name == c.Name })
					if j < 0 {
						t.Fatalf("class %s of a version received at %s is not accepted at %s", c.Name, h.at, now)
					}
					if o := v.InForce().Classes[j]; o.Effect < c.Effect || maxDataAge(o) > maxDataAge(c) || o.Deadline > c.Deadline ||
						c.Need == balance.Session && o.Need != balance.Session && o.Need != balance.Latest {
						t.Fatalf("%+v is less strict than %+v, received at %s, now %s", o, c, h.at, now)
					}
				}
				if v.InForce().MaxAttempts > h.s.MaxAttempts {
					t.Fatalf("%d attempts, %d allowed", v.InForce().MaxAttempts, h.s.MaxAttempts)
				}
			}
			if at, ok := v.Due(); !ok || at <= now {
				if v.Settle(now); !cmp.Equal(v.InForce(), history[newest].s) {
					t.Fatal("the settings after the grace period are not those of the newest version")
				}
			}
		}
	})
}
