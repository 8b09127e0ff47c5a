package leases

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const ms = time.Millisecond

func acquireEntry(name, holder string, term uint64, now time.Duration) Entry {
	return Entry{Op: Acquire, Name: name, Holder: holder, TTL: 1000 * ms, Term: term, Now: now}
}

func renewEntry(name, holder string, token, term uint64, now time.Duration) Entry {
	return Entry{Op: Renew, Name: name, Holder: holder, Token: token, TTL: 1000 * ms, Term: term, Now: now}
}

func releaseEntry(name, holder string, token, term uint64, now time.Duration) Entry {
	return Entry{Op: Release, Name: name, Holder: holder, Token: token, Term: term, Now: now}
}

func stampEntry(term uint64, now time.Duration) Entry { return Entry{Op: Stamp, Term: term, Now: now} }

// step is an entry to apply and its expected result.
type step struct {
	e       Entry
	granted bool
	holder  string // of the lease in the result
	token   uint64
	expiry  time.Duration
	err     error
}

func TestMachine(t *testing.T) {
	cases := []struct {
		name  string
		steps []step
	}{
		{"free lease is granted with the entry's index as token", []step{
			{e: acquireEntry("scout", "a", 1, 0), granted: true, holder: "a", token: 1, expiry: 1000 * ms},
		}},
		{"held lease is refused to another holder", []step{
			{e: acquireEntry("scout", "a", 1, 0), granted: true, holder: "a", token: 1, expiry: 1000 * ms},
			{e: acquireEntry("scout", "b", 1, 999*ms), holder: "a", token: 1, expiry: 1000 * ms, err: ErrHeld},
		}},
		{"expired lease is granted to another holder with a newer token", []step{
			{e: acquireEntry("scout", "a", 1, 0), granted: true, holder: "a", token: 1, expiry: 1000 * ms},
			{e: acquireEntry("scout", "b", 1, 1000*ms), granted: true, holder: "b", token: 2, expiry: 2000 * ms},
			{e: renewEntry("scout", "a", 1, 1, 1001*ms), holder: "b", token: 2, expiry: 2000 * ms, err: ErrLost},
		}},
		{"acquire by the holder renews with the same token", []step{
			{e: acquireEntry("scout", "a", 1, 0), granted: true, holder: "a", token: 1, expiry: 1000 * ms},
			{e: acquireEntry("scout", "a", 1, 500*ms), holder: "a", token: 1, expiry: 1500 * ms},
		}},
		{"renewal extends and never shortens", []step{
			{e: acquireEntry("scout", "a", 1, 0), granted: true, holder: "a", token: 1, expiry: 1000 * ms},
			{e: renewEntry("scout", "a", 1, 1, 600*ms), holder: "a", token: 1, expiry: 1600 * ms},
			{e: Entry{Op: Renew, Name: "scout", Holder: "a", Token: 1, TTL: 300 * ms, Term: 1, Now: 700 * ms},
				holder: "a", token: 1, expiry: 1600 * ms},
		}},
		{"renewal with another token is refused", []step{
			{e: acquireEntry("scout", "a", 1, 0), granted: true, holder: "a", token: 1, expiry: 1000 * ms},
			{e: renewEntry("scout", "a", 7, 1, 10*ms), holder: "a", token: 1, expiry: 1000 * ms, err: ErrLost},
		}},
		{"renewal after expiry is refused", []step{
			{e: acquireEntry("scout", "a", 1, 0), granted: true, holder: "a", token: 1, expiry: 1000 * ms},
			{e: renewEntry("scout", "a", 1, 1, 1000*ms), err: ErrLost},
		}},
		{"released lease is free immediately", []step{
			{e: acquireEntry("scout", "a", 1, 0), granted: true, holder: "a", token: 1, expiry: 1000 * ms},
			{e: releaseEntry("scout", "a", 1, 1, 10*ms), holder: "a", token: 1, expiry: 1000 * ms},
			{e: acquireEntry("scout", "b", 1, 20*ms), granted: true, holder: "b", token: 3, expiry: 1020 * ms},
		}},
		{"release by another holder is refused", []step{
			{e: acquireEntry("scout", "a", 1, 0), granted: true, holder: "a", token: 1, expiry: 1000 * ms},
			{e: releaseEntry("scout", "b", 1, 1, 10*ms), holder: "a", token: 1, expiry: 1000 * ms, err: ErrLost},
		}},
		{"new term extends every lease to its full time to live", []step{
			{e: acquireEntry("scout", "a", 1, 0), granted: true, holder: "a", token: 1, expiry: 1000 * ms},
			// the new leader's clock is far behind the old one's
			{e: stampEntry(2, 5*ms)},
			{e: acquireEntry("scout", "b", 2, 900*ms), holder: "a", token: 1, expiry: 1005 * ms, err: ErrHeld},
			{e: acquireEntry("scout", "b", 2, 1005*ms), granted: true, holder: "b", token: 4, expiry: 2005 * ms},
		}},
		{"new leader whose clock is far ahead does not expire a lease early", []step{
			{e: acquireEntry("scout", "a", 1, 0), granted: true, holder: "a", token: 1, expiry: 1000 * ms},
			{e: acquireEntry("scout", "b", 2, 50000*ms), holder: "a", token: 1, expiry: 51000 * ms, err: ErrHeld},
		}},
		{"entry of an older term is applied at the newest stamp of the current term", []step{
			{e: acquireEntry("scout", "a", 1, 0), granted: true, holder: "a", token: 1, expiry: 1000 * ms},
			{e: stampEntry(2, 100*ms)},
			// proposed by the old leader at 2 s on its clock, when a's lease had expired on that clock
			{e: acquireEntry("scout", "b", 1, 2000*ms), holder: "a", token: 1, expiry: 1100 * ms, err: ErrHeld},
			{e: acquireEntry("free", "b", 1, 2000*ms), granted: true, holder: "b", token: 4, expiry: 1100 * ms},
		}},
		{"malformed entries change nothing", []step{
			{e: Entry{Op: Acquire, Name: "scout", Holder: "a", TTL: 10 * ms, Term: 1}, err: ErrBadEntry},
			{e: Entry{Op: Acquire, Name: "", Holder: "a", TTL: time.Second, Term: 1}, err: ErrBadEntry},
			{e: Entry{Op: Renew, Name: "scout", Holder: "a", TTL: time.Second, Term: 1}, err: ErrBadEntry},
			{e: Entry{Op: Acquire, Name: "scout", Holder: "a", TTL: time.Second}, err: ErrBadEntry},
			{e: Entry{Op: 9, Term: 1}, err: ErrBadEntry},
			{e: acquireEntry("scout", "a", 1, 0), granted: true, holder: "a", token: 6, expiry: 1000 * ms},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var m Machine
			for i, s := range c.steps {
				r := m.Apply(uint64(i+1), s.e)
				if !errors.Is(r.Err, s.err) || (s.err == nil && r.Err != nil) {
					t.Fatalf("step %d (%v): error %v, want %v", i+1, s.e.Op, r.Err, s.err)
				}
				got := step{e: s.e, granted: r.Granted, holder: r.Lease.Holder, token: r.Lease.Token,
					expiry: r.Lease.Expiry, err: s.err}
				if d := cmp.Diff(s, got, cmp.AllowUnexported(step{}), cmp.Comparer(func(a, b error) bool {
					return a == b
				})); d != "" {
					t.Fatalf("step %d (%v): (-want +got)\n%s", i+1, s.e.Op, d)
				}
			}
		})
	}
}

func TestTokensOnlyGrow(t *testing.T) {
	var m Machine
	var last uint64
	now := time.Duration(0)
	for i := uint64(1); i <= 200; i++ {
		holder := []string{"a", "b", "c"}[i%3]
		now += 700 * ms
		r := m.Apply(i, acquireEntry("scout", holder, 1+i/50, now))
		if r.Granted {
			if r.Lease.Token <= last {
				t.Fatalf("entry %d: token %d after %d", i, r.Lease.Token, last)
			}
			last = r.Lease.Token
		}
	}
	if m.Granted() == 0 {
		t.Fatal("no lease was granted")
	}
}

func TestApplyRejectsOldIndex(t *testing.T) {
	var m Machine
	m.Apply(5, acquireEntry("scout", "a", 1, 0))
	if r := m.Apply(5, acquireEntry("scout", "b", 1, 5000*ms)); !errors.Is(r.Err, ErrOldIndex) {
		t.Fatalf("error %v, want ErrOldIndex", r.Err)
	}
	if l, ok := m.Holder("scout", 10*ms); !ok || l.Holder != "a" {
		t.Fatalf("lease %v, held %v, want holder a", l, ok)
	}
}

func TestHolderConfigCheck(t *testing.T) {
	cases := []struct {
		cfg HolderConfig
		ok  bool
	}{
		{HolderConfig{TTL: 2 * time.Second, Drift: 0.01, Margin: 200 * ms}, true},
		{HolderConfig{TTL: 2 * time.Second, Drift: 0.01, Margin: 40 * ms}, false},
		{HolderConfig{TTL: 2 * time.Second, Drift: 0.2, Margin: 900 * ms}, false},
		{HolderConfig{TTL: 100 * ms, Drift: 0, Margin: 10 * ms}, false},
		{HolderConfig{TTL: 2 * time.Second, Drift: 0, Margin: time.Second}, false},
	}
	for _, c := range cases {
		if err := c.cfg.Check(); (err == nil) != c.ok {
			t.Errorf("%+v: %v", c.cfg, err)
		}
	}
}

func TestHolding(t *testing.T) {
	h, err := NewHolding(HolderConfig{TTL: time.Second, Drift: 0.01, Margin: 100 * ms})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := h.Act(0); !errors.Is(err, ErrNotHeld) {
		t.Fatalf("act before a grant: error %v, want ErrNotHeld", err)
	}
	h.Granted(100*ms, 4) // until 100 + 990 - 100 = 990
	if tok, err := h.Act(989 * ms); err != nil || tok != 4 {
		t.Fatalf("act at 989 ms: token %d, error %v", tok, err)
	}
	if _, err := h.Act(990 * ms); err == nil {
		t.Fatal("act at the end of the lease is allowed")
	}
	if h.RenewDue(300*ms) || !h.RenewDue(434*ms) {
		t.Fatal("renewal is due at the wrong time")
	}
	h.Granted(50*ms, 4) // answer to an older request
	if h.Until() != 990*ms {
		t.Fatalf("answer to an older request moved the end to %v", h.Until())
	}
	h.Granted(500*ms, 4)
	if h.Until() != 1390*ms {
		t.Fatalf("end after a renewal: %v, want 1.39s", h.Until())
	}
	h.Granted(600*ms, 3) // late answer with an older token
	if h.Token() != 4 {
		t.Fatalf("token %d was reinstated", h.Token())
	}
	h.Lost(3)
	if _, err := h.Act(600 * ms); err != nil {
		t.Fatal("loss of an older token ended the lease")
	}
	h.Lost(4)
	if _, err := h.Act(600 * ms); err == nil {
		t.Fatal("act after the loss of the lease is allowed")
	}
	h.Granted(550*ms, 4) // late answer to a renewal sent before the release
	if _, err := h.Act(600 * ms); err == nil {
		t.Fatal("late answer reinstated a released token")
	}
	h.Granted(700*ms, 9)
	if tok, err := h.Act(800 * ms); err != nil || tok != 9 {
		t.Fatalf("newer grant after a release: token %d, error %v", tok, err)
	}
}

func TestFence(t *testing.T) {
	var f Fence
	for _, c := range []struct {
		res   string
		token uint64
		ok    bool
	}{{"a", 3, true}, {"a", 3, true}, {"a", 2, false}, {"b", 1, true}, {"a", 9, true}, {"a", 3, false}} {
		if err := f.Admit(c.res, c.token); (err == nil) != c.ok || (err != nil && !errors.Is(err, ErrStale)) {
			t.Errorf("resource %s, token %d: %v", c.res, c.token, err)
		}
	}
	if f.Newest("a") != 9 || f.Refused() != 2 {
		t.Fatalf("newest token %d, want 9; %d refused, want 2", f.Newest("a"), f.Refused())
	}
}

// TestMarginCoversDrift uses the worst clocks that the drift bound allows: the holder's clock is slow, the
// leader's is fast, and the stamp is taken when the request is sent. The holder must stop before the lease
// expires at the voters; without the margin it does not.
func TestMarginCoversDrift(t *testing.T) {
	const drift = 0.01
	ttl := 2 * time.Second
	for _, c := range []struct {
		margin   time.Duration
		overlaps bool
	}{{200 * ms, false}, {41 * ms, false}, {0, true}} {
		h := &Holding{cfg: HolderConfig{TTL: ttl, Drift: drift, Margin: c.margin}}
		var m Machine
		r := m.Apply(1, Entry{Op: Acquire, Name: "scout", Holder: "a", TTL: ttl, Term: 1, Now: 0})
		h.Granted(0, r.Lease.Token)
		// real time at which the lease ends for the holder and for the voters, in nanoseconds
		holderStops := float64(h.Until()) / (1 - drift)
		votersFree := float64(r.Lease.Expiry) / (1 + drift)
		if overlaps := holderStops >= votersFree; overlaps != c.overlaps {
			t.Errorf("margin %v: holder stops at %.0f ns, lease expires at the voters at %.0f ns", c.margin, holderStops, votersFree)
		}
	}
}
