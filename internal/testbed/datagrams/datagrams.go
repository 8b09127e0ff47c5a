// Package datagrams provides a stand-in for the network between the gateways of a tier. A datagram that one gateway sends to the
// shared address is forwarded to each of the others with a random delay, or lost.
package datagrams

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// minDelay and maxDelay bound the delay of a datagram unless SetDelay was called.
	minDelay, maxDelay = time.Millisecond, 40 * time.Millisecond
	// lossOneIn is the number of datagrams of which one is lost on average.
	lossOneIn = 20
	maxBytes  = 2048 // of a datagram
)

// Network forwards datagrams between all gateways of a tier.
type Network struct {
	conn *net.UDPConn

	mu       sync.Mutex
	rng      *rand.Rand
	members  []*net.UDPAddr
	minDelay time.Duration
	maxDelay time.Duration
}

// New opens a network on loopback. Delays and losses are drawn from the seed.
func New(seed uint64) (*Network, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	n := &Network{conn: conn, rng: rand.New(rand.NewPCG(seed, 0x756470)), minDelay: minDelay, maxDelay: maxDelay}
	go n.run()
	return n, nil
}

// Address returns the shared address to which the gateways send.
func (n *Network) Address() string { return n.conn.LocalAddr().String() }

// Join adds a gateway that sends and receives at an address.
func (n *Network) Join(address string) error {
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = append(n.members, to)
	return nil
}

// SetDelay sets the bounds of the delay of later datagrams.
func (n *Network) SetDelay(lower, upper time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.minDelay, n.maxDelay = lower, upper
}

// Close closes the network.
func (n *Network) Close() { _ = n.conn.Close() }

func (n *Network) run() {
	buffer := make([]byte, maxBytes)
	for {
		size, from, err := n.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		n.forward(append([]byte(nil), buffer[:size]...), from.String())
	}
}

// forward forwards a datagram to all members except its sender.
func (n *Network) forward(datagram []byte, from string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, to := range n.members {
		if to.String() == from || n.rng.IntN(lossOneIn) == 0 {
			continue
		}
		time.AfterFunc(n.minDelay+time.Duration(n.rng.Int64N(int64(n.maxDelay-n.minDelay))), func() { _, _ = n.conn.WriteToUDP(datagram, to) })
	}
}
