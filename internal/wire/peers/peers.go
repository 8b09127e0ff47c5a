// Package peers carries datagrams between the gateways of a tier.
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

// maxBytes is the longest datagram that the platform takes; a longer one that comes in is read cut off, and told by its length.
const maxBytes = 256

// stoppedFor is how often one that has been stopped looks whether it reads again.
const stoppedFor = 100 * time.Millisecond

// failedFor is the pause after a read that failed.
const failedFor = 5 * time.Millisecond

// Config is what Peers need to know.
type Config struct {
	Listen   netip.AddrPort // where datagrams come in
	All      netip.AddrPort // reaches every gateway of the tier
	Self     netip.AddrPort // what this gateway's own come from, if they come back
	Log      *zap.Logger
	Counters *counters.Set
	Share    bool         // with an earlier process of this gateway
	Conn     *net.UDPConn // the socket of that process, to be used in place of one of its own; nil: there is none
}

// Peers is the socket.
type Peers struct {
	cfg  Config
	conn *net.UDPConn
}

// Listen opens the socket.
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

// Conn is the socket, for a process that follows this one.
func (p *Peers) Conn() *net.UDPConn { return p.conn }

// Stop reads no more: what comes in is for the process that follows this one. Start takes that back.
func (p *Peers) Stop() { _ = p.conn.SetReadDeadline(time.Now()) }

// Start reads again.
func (p *Peers) Start() { _ = p.conn.SetReadDeadline(time.Time{}) }

// Tell sends a datagram to all. What can't be sent is lost, as any datagram may be.
func (p *Peers) Tell(b []byte) {
	if _, err := p.conn.WriteToUDPAddrPort(b, p.cfg.All); err != nil {
		p.cfg.Counters.GossipErrors.Add(1)
		return
	}
	p.cfg.Counters.GossipSent.Add(1)
}

// Run hands over what comes in until the context ends. What it hands over is the receiver's to keep.
func (p *Peers) Run(ctx context.Context, heard func([]byte)) error {
	stop := context.AfterFunc(ctx, func() { p.conn.Close() })
	defer stop()
	buffer := make([]byte, maxBytes+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded): // stopped
			select {
			case <-ctx.Done():
			case <-time.After(stoppedFor):
			}
			continue
		case err != nil:
			p.cfg.Counters.GossipErrors.Add(1)
			time.Sleep(failedFor) // an error that lasts must not take the processor
			continue
		case from == p.cfg.Self:
			continue
		}
		heard(append([]byte(nil), buffer[:n]...))
	}
}
