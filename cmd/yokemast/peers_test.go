package main

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"yokemast/balance"
	"yokemast/internal/control/gossip"
)

// The real program sends a gossip entry about its attempt's outcome to another gateway, and uses the entries
// it receives: a read goes to the replica by the received position, as probes are off. A malformed datagram
// is ignored.
func TestGatewaysTellEachOther(t *testing.T) {
	other, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	own := strings.TrimSuffix(ownAddress(), ":5432") + ":7946"
	leader, follower := newHost(t, "s-1", "leader", nil), newHost(t, "s-2", "follower", nil)
	g := start(t, func(c string) string {
		c = strings.Replace(c, `"balancers":1`, `"balancers":2`, 1)
		c = strings.Replace(c, `"probes":true`, `"probes":false,"peers":true`, 1)
		return strings.Replace(c, `"seed"`, fmt.Sprintf(`"peer_listen":%q,"peers_all":%q,"peers":[%q],"seed"`, own, other.LocalAddr(), own), 1)
	}, leader, follower)
	c := g.client()
	if got := c.Ask(write("k", "9f", comment("order", ""))); got != "row k" {
		t.Fatalf("answered %q", got)
	}
	classes := []balance.Class{{Name: "view"}, {Name: "own"}, {Name: "order"}}
	state := gossip.New(gossip.Config{Gateways: 2, Classes: classes, Burst: 1e6})
	state.AddHost("s-1")
	state.AddHost("s-2")
	b := make([]byte, 512)
	_ = other.SetReadDeadline(time.Now().Add(testTimeout))
	n, _, err := other.ReadFrom(b)
	if err != nil {
		t.Fatal(err)
	}
	received, err := state.Receive(time.Duration(time.Now().UnixNano()), gossip.Offsets{Bounded: true}, b[:n], nil)
	if err != nil || len(received) != 1 || received[0].Server != "s-1" || received[0].Class != "order" || received[0].Role != balance.Primary {
		t.Errorf("received the gossip entries %+v, %v", received, err)
	}
	to, err := net.ResolveUDPAddr("udp4", own)
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); len(follower.Queries()) == 0; {
		now := time.Duration(time.Now().UnixNano())
		state.AddEntry(now, balance.RemoteOutcome{Server: "s-2", Class: "view", Role: balance.Replica, Position: now, At: now})
		for _, d := range [][]byte{[]byte("noise"), state.AppendMessage(now, gossip.Offsets{Bounded: true}, nil)} {
			if _, err := other.WriteTo(d, to); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(10 * time.Millisecond)
		if got := c.Ask(read("k", comment("view", ""))); got != "row k" || time.Now().After(end) {
			t.Fatalf("a read is answered %q, and the replica received none", got)
		}
	}
}
