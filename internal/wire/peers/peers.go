// Package peers sends and receives gossip messages between the gateways of a tier, as UDP datagrams.
package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"

	"go.uber.org/zap"

	"yokemast/internal/memory/counters"
	"yokemast/internal/wire/socket"
)

// maxDatagram is the longest datagram that the platform delivers, in bytes. A longer one is truncated on receipt to one
// byte more and thus recognized by its length.
const maxDatagram = 256

// stoppedPollInterval is how often a stopped Peers checks whether it has been started again.
const stoppedPollInterval = 100 * time.Millisecond

// readErrorDelay is the delay after a failed read.
const readErrorDelay = 5 * time.Millisecond

// Config configures Peers.
type Config struct {
	Listen   netip.AddrPort // address that datagrams are received on
	All      netip.AddrPort // address that reaches every gateway of the tier
	Self     netip.AddrPort // source address of this gateway's own datagrams, which are ignored
	Log      *zap.Logger
	Counters *counters.Set
	Share    bool         // share the address with the old process of this gateway
	Conn     *net.UDPConn // the socket of the old process, or nil to open one
}

// Peers is the socket for gossip messages.
type Peers struct {
	cfg  Config
	conn *net.UDPConn
}

// Listen opens the socket, or uses that of the old process.
func Listen(cfg Config) (*Peers, error) {
	if cfg.Conn != nil {
		return &Peers{cfg, cfg.Conn}, nil
	}
	config := net.ListenConfig{}
	if cfg.Share {
		config.Control = socket.ReusePort
	}
	conn, err := socket.ListenPacket(context.Background(), &config, cfg.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	return &Peers{cfg, conn}, nil
}

// Conn returns the socket, to be passed to a new process.
func (p *Peers) Conn() *net.UDPConn { return p.conn }

// Stop stops reading: the new process receives the datagrams from now on. Start reverts it.
func (p *Peers) Stop() { _ = p.conn.SetReadDeadline(time.Now()) }

// Start resumes reading.
func (p *Peers) Start() { _ = p.conn.SetReadDeadline(time.Time{}) }

// Send sends a datagram to all gateways. One that cannot be sent is counted and dropped, as datagrams may be lost anyway.
func (p *Peers) Send(b []byte) {
	if _, err := p.conn.WriteToUDPAddrPort(b, p.cfg.All); err != nil {
		p.cfg.Counters.GossipErrors.Add(1)
		return
	}
	p.cfg.Counters.GossipSent.Add(1)
}

// Run calls receive with each datagram until ctx is done. receive owns the bytes.
func (p *Peers) Run(ctx context.Context, receive func([]byte)) error {
	stop := context.AfterFunc(ctx, func() { p.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded): // stopped
			select {
			case <-ctx.Done():
			case <-time.After(stoppedPollInterval):
			}
			continue
		case err != nil:
			p.cfg.Counters.GossipErrors.Add(1)
			time.Sleep(readErrorDelay) // a persistent error must not cause a busy loop
			continue
		case from == p.cfg.Self:
			continue
		}
		receive(append([]byte(nil), buffer[:n]...))
	}
}
