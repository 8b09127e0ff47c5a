package soak

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"yokemast/internal/testbed/linkfault"
)

func TestPlanIsDeterminedBySeed(t *testing.T) {
	seen := map[Kind]bool{}
	for seed := range uint64(200) {
		p := New(seed)
		if diff := cmp.Diff(p, New(seed)); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
		for _, e := range p.Events {
			seen[e.Kind] = true
			if e.At < 0 || e.At > p.Length {
				t.Errorf("seed %d: event %s in a run of %s", seed, e, p.Length)
			}
		}
	}
	for _, k := range []Kind{AgentSilent, AgentSlow, AgentBusy, AgentResets, AgentTruncates, AgentTrickles, Reload, Reloads, Moves, HoldUp,
		Restart, Drain, Gone, Back, Hang, Crash, Resets, HangButProbes, ReportsStop, OldRole, HeldAnswers, LogStalls} {
		if !seen[k] {
			t.Errorf("no plan has the event %q", k)
		}
	}
}

func TestCISeedsCoverAllAges(t *testing.T) {
	seen := map[string]map[Age]bool{"answers": {}, "reports": {}, "starts": {}, "roles": {}, "gossip": {}}
	for seed := uint64(FirstInCI); seed <= LastInCI; seed++ {
		p := New(seed)
		seen["answers"][p.Ages.Answers] = true
		seen["reports"][p.Ages.Reports] = true
		seen["starts"][p.Ages.Starts] = true
		if p.Roles == RolesLate {
			seen["roles"][p.Ages.Roles] = true
		}
		if p.Gossip {
			seen["gossip"][p.Ages.Gossip] = true
		}
	}
	for field, ages := range seen {
		for _, a := range []Age{Allowed, Older} {
			if !ages[a] {
				t.Errorf("no CI seed has %s of age %q", field, a)
			}
		}
	}
}

func TestAgesRespectBounds(t *testing.T) {
	for seed := range uint64(500) {
		p := New(seed)
		for _, field := range []struct {
			name        string
			age         Age
			lag, within time.Duration
		}{
			{"report", p.Ages.Reports, p.Reports[1], ReportMost},
			{"start", p.Ages.Starts, p.StartLag, ListedWithin},
			{"role", p.Ages.Roles, p.RoleLag, RoleListedWithin},
		} {
			if older := field.lag > field.within; older != (field.age == Older) {
				t.Errorf("seed %d: a %s of age %q arrives within %s, bound %s", seed, field.name, field.age, field.lag, field.within)
			}
		}
		if p.Reports[0] > p.Reports[1] {
			t.Errorf("seed %d: intervals of reports %s", seed, p.Reports)
		}
	}
}

func TestPlansCombineAgeAndGatewayEvents(t *testing.T) {
	seen := map[[2]Kind]bool{}
	groups := map[int]bool{}
	for seed := range uint64(1000) {
		for _, e := range New(seed).Events {
			seen[[2]Kind{e.Kind, e.With}] = true
			groups[e.Group] = true
		}
	}
	for _, event := range ageEvents {
		for _, with := range []Kind{"", HoldUp, Burst, Restart, Series, Kill} {
			if !seen[[2]Kind{event, with}] {
				t.Errorf("no plan has the event %q with %q", event, with)
			}
		}
	}
	if len(groups) != 2 {
		t.Errorf("events affect %d groups, want 2", len(groups))
	}
}

func TestCISeedsCoverAllLinkFaults(t *testing.T) {
	seen := map[linkfault.Kind]bool{}
	plans := 0
	for seed := uint64(FirstInCI); seed <= LastInCI; seed++ {
		p := New(seed)
		if p.Linked != nil {
			plans++
		}
		for _, e := range p.Events {
			if seen[e.Fault.Kind] = true; e.Kind == Link && !p.Linked[e.Target] {
				t.Errorf("seed %d: event %s, but gateway %d has no links", seed, e, e.Target)
			}
		}
	}
	for _, k := range linkfault.Kinds {
		if !seen[k] {
			t.Errorf("no CI seed has the link fault %q", k)
		}
	}
	if plans < 3 {
		t.Errorf("%d plans of CI seeds have links, want at least 3", plans)
	}
}
