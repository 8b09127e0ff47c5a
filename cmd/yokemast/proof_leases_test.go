package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"yokemast/internal/control/leases"
	"yokemast/internal/testbed/faults"
	"yokemast/internal/wire/fleet"
)

// act is an action under the lease that the resource received, with its token and whether the resource's
// fence admitted it.
type act struct {
	at       time.Time
	holder   uint16
	token    uint64
	admitted bool
}

// resource simulates the target of a fleet-wide task. If checkFence is set, it refuses acts by their token.
type resource struct {
	mu         sync.Mutex
	fence      leases.Fence
	checkFence bool
	acts       []act
}

func (r *resource) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			rd := fleet.NewReader(c, func(uint16) bool { return true })
			for {
				f, err := rd.Read()
				if err != nil || f.Kind != fleet.KindAct {
					return
				}
				var token uint64
				if fs := strings.Fields(string(f.Payload)); len(fs) >= 2 {
					token, _ = strconv.ParseUint(fs[1], 10, 64)
				}
				r.mu.Lock()
				ok := true
				if r.checkFence {
					ok = r.fence.Admit("scout", token) == nil
				}
				r.acts = append(r.acts, act{at: time.Now(), holder: f.From, token: token, admitted: ok})
				r.mu.Unlock()
			}
		}()
	}
}

func (r *resource) snapshot() []act {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]act(nil), r.acts...)
}

// checkActs verifies that among the admitted acts, in order of arrival, tokens never decrease and each token
// belongs to one holder. It returns the number of handoffs.
func checkActs(acts []act) (handoffs int, err error) {
	var newest uint64
	by := map[uint64]uint16{}
	for i, a := range acts {
		if !a.admitted {
			continue
		}
		if a.token < newest {
			return handoffs, fmt.Errorf("act %d: holder %d acted with token %d after token %d had acted", i, a.holder,
				a.token, newest)
		}
		if h, ok := by[a.token]; ok && h != a.holder {
			return handoffs, fmt.Errorf("act %d: token %d used by %d and %d", i, a.token, h, a.holder)
		}
		by[a.token] = a.holder
		if a.token > newest {
			if newest != 0 {
				handoffs++
			}
			newest = a.token
		}
	}
	return handoffs, nil
}

type leaseFleet struct {
	procs    map[uint16]*exec.Cmd
	net      *faults.Layer // links between voters
	acts     *faults.Layer // links from voters to the resource
	resource *resource
}

// startLeaseFleet starts n voters of the real program. The links between them and to the resource pass the
// fault layer.
func startLeaseFleet(t *testing.T, ctx context.Context, seed uint64, n int, fence bool) *leaseFleet {
	f := &leaseFleet{procs: map[uint16]*exec.Cmd{}, resource: &resource{checkFence: fence},
		net:  faults.New(seed, faults.Plan{Drop: 0.05, Dup: 0.02, Delay: time.Millisecond, Jitter: 4 * time.Millisecond}),
		acts: faults.New(seed+1, faults.Plan{})}
	rl, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { rl.Close() })
	go f.resource.serve(rl)
	listen := map[uint16]string{}
	for id := uint16(1); id <= uint16(n); id++ {
		listen[id] = ownAddress()
	}
	via := func(layer *faults.Layer, from, to uint16, target string) string {
		ln, err := faults.Listen()
		if err != nil {
			t.Fatal(err)
		}
		go layer.Serve(ctx, ln, from, to, target)
		return ln.Addr().String()
	}
	for id := uint16(1); id <= uint16(n); id++ {
		args := []string{"lease-voter", "--id", fmt.Sprint(id), "--listen", listen[id], "--resource",
			via(f.acts, id, 0, rl.Addr().String())}
		for other := uint16(1); other <= uint16(n); other++ {
			if other != id {
				args = append(args, "--peer", fmt.Sprintf("%d=%s", other, via(f.net, id, other, listen[other])))
			}
		}
		cmd := program(ctx, args...)
		log := &logBuffer{}
		cmd.Stdout, cmd.Stderr = log, log
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		f.procs[id] = cmd
		t.Cleanup(func() {
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
			if t.Failed() {
				t.Logf("voter %d:\n%s", id, log)
			}
		})
	}
	return f
}

// holder returns the holder and the token of the last admitted act, or 0 before the first.
func (f *leaseFleet) holder() (uint16, uint64) {
	acts := f.resource.snapshot()
	for i := len(acts) - 1; i >= 0; i-- {
		if acts[i].admitted {
			return acts[i].holder, acts[i].token
		}
	}
	return 0, 0
}

func (f *leaseFleet) waitNewerToken(t *testing.T, token uint64, within time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < within {
		if _, tok := f.holder(); tok > token {
			return time.Since(start)
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("no newer token than %d within %v", token, within)
	return 0
}

// actsOf returns how many acts of a holder have arrived.
func (f *leaseFleet) actsOf(holder uint16) (n int) {
	for _, a := range f.resource.snapshot() {
		if a.holder == holder {
			n++
		}
	}
	return n
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s within %v", what, testTimeout)
		}
	}
}

// runLeases runs one seed: the holder is paused with acts of its own in transit, partitioned from the
// voters, and killed, in an order drawn from the seed. It returns -1 handoffs if the check fails without the
// fence.
func runLeases(t *testing.T, seed uint64, fence bool) (acts []act, handoffs int, worst time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := startLeaseFleet(t, ctx, seed, 5, fence)
	f.waitNewerToken(t, 0, testTimeout)
	rng := rand.New(rand.NewPCG(seed, 11))
	faultKinds := []string{"pause", "cut", "kill"}
	rng.Shuffle(len(faultKinds), func(i, j int) { faultKinds[i], faultKinds[j] = faultKinds[j], faultKinds[i] })
	for _, fault := range faultKinds {
		time.Sleep(time.Duration(200+rng.IntN(300)) * time.Millisecond)
		h, tok := f.holder()
		var took time.Duration
		switch fault {
		case "pause":
			// The acts sent just before the pause are delivered only after an act of the next holder.
			f.acts.Hold(h, 0)
			waitFor(t, "acts on their way", func() bool { return f.acts.Counts().Held >= 3 })
			_ = f.procs[h].Process.Signal(syscall.SIGSTOP)
			took = f.waitNewerToken(t, tok, testTimeout)
			before := f.actsOf(h)
			f.acts.Release(h, 0)
			waitFor(t, "late acts", func() bool { return f.actsOf(h) >= before+3 })
			_ = f.procs[h].Process.Signal(syscall.SIGCONT)
		case "cut":
			var rest []uint16
			for id := range f.procs {
				if id != h {
					rest = append(rest, id)
				}
			}
			f.net.Partition([]uint16{h}, rest)
			took = f.waitNewerToken(t, tok, testTimeout)
			time.Sleep(time.Duration(500+rng.IntN(500)) * time.Millisecond)
			f.net.Heal()
		case "kill":
			_ = f.procs[h].Process.Kill()
			took = f.waitNewerToken(t, tok, testTimeout)
		}
		t.Logf("seed %d: %s of holder %d: a newer token acted after %v", seed, fault, h, took.Round(time.Millisecond))
		if took > worst {
			worst = took
		}
	}
	time.Sleep(300 * time.Millisecond)
	acts = f.resource.snapshot()
	handoffs, err := checkActs(acts)
	if err != nil {
		t.Logf("replay: YOKEMAST_LEASE_SEED=%d go test ./cmd/yokemast -run TestProofLeases", seed)
		if fence {
			t.Fatalf("seed %d: %v", seed, err)
		}
		t.Logf("seed %d, without the fence: %v", seed, err)
		return acts, -1, worst
	}
	return acts, handoffs, worst
}

func leaseSeeds() []uint64 {
	if s, err := strconv.ParseUint(os.Getenv("YOKEMAST_LEASE_SEED"), 10, 64); err == nil {
		return []uint64{s}
	}
	return []uint64{1, 2}
}

// TestProofLeases starts five voters of the real program with the fault layer between them and between them
// and the resource, pauses, partitions and kills the holder, and checks that the resource never admits an act
// of an older holder after one of a newer holder.
func TestProofLeases(t *testing.T) {
	for _, seed := range leaseSeeds() {
		t.Logf("seed %d; replay: YOKEMAST_LEASE_SEED=%d go test ./cmd/yokemast -run TestProofLeases", seed, seed)
		acts, handoffs, worst := runLeases(t, seed, true)
		refused := 0
		for _, a := range acts {
			if !a.admitted {
				refused++
			}
		}
		if handoffs < 3 {
			t.Fatalf("seed %d: the lease was handed off %d times for three losses of its holder", seed, handoffs)
		}
		if refused == 0 {
			t.Fatalf("seed %d: the paused holder's late acts were not refused: the fence was not exercised", seed)
		}
		t.Logf("figure lease_handoffs=%d lease_acts=%d lease_refused_stale=%d lease_worst_handoff_ms=%d (seed %d)",
			handoffs, len(acts), refused, worst.Milliseconds(), seed)
	}
}

// TestProofLeasesWithoutTheFence shows that TestProofLeases can fail: without the resource's fence the
// checker must find an act of an older holder after one of a newer holder.
func TestProofLeasesWithoutTheFence(t *testing.T) {
	seed := leaseSeeds()[0]
	_, handoffs, _ := runLeases(t, seed, false)
	if handoffs != -1 {
		t.Fatalf("seed %d: without the fence the checker found no violation", seed)
	}
}
