// Package lifecycle starts the gateway, keeps its parts together and ends it.
package lifecycle

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"os"
	"strconv"

	"github.com/tidwall/gjson"

	"yokemast/internal/wire/discovery"
	"yokemast/internal/wire/settings"
)

// Config is all that a gateway is told at its start.
type Config struct {
	Name, Listen, Discovery string
	Admin                   string // the second address, where staff call; "": there is none
	Seed                    uint64
	Cores                   float64
	MemoryMB, Sockets       int
	Known                   discovery.List
	Peers                   Peers
	Settings                settings.Settings
	shape                   *settings.Shape
	inFile                  string // the discovery that the file names
}

// Peers is where gateways meet. It is empty where they may not, or where there is only one.
type Peers struct {
	Listen, All, Self netip.AddrPort
}

const (
	leastSockets  = 64
	leastMemoryMB = 32
)

// freeKeys are those that a configuration may lack that is read anew: nothing of them is used then.
var freeKeys = []string{"known", "admin", "seed"}

// LoadConfig reads and checks a configuration; the error names the field at fault.
func LoadConfig(path string) (Config, error) {
	return load(path, func(Config, []byte) error { return nil })
}

// ReloadConfig reads a configuration that is to take this one's place; the error names the field at fault.
func (c Config) ReloadConfig(path string) (Config, error) { return load(path, c.replacedBy) }

func load(path string, fits func(Config, []byte) error) (Config, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	c, err := ParseConfig(b)
	if err == nil {
		err = fits(c, b)
	}
	if err != nil {
		return c, fmt.Errorf("config: %s: %w", path, err)
	}
	return c, nil
}

// ParseConfig reads and checks a configuration; the error names the field at fault.
func ParseConfig(b []byte) (Config, error) {
	if !gjson.ValidBytes(b) {
		return Config{}, errors.New("not JSON")
	}
	root := gjson.ParseBytes(b)
	c := Config{Name: root.Get("name").Str, Listen: root.Get("listen").Str, Discovery: root.Get("discovery").Str,
		Admin: root.Get("admin").Str, Cores: root.Get("limits.cores").Num, MemoryMB: int(root.Get("limits.memory_mb").Int()),
		Sockets: int(root.Get("limits.sockets").Int())}
	c.inFile = c.Discovery
	if err := c.Override("", "", "", ""); err != nil {
		return c, err
	}
	if !(c.Cores > 0) {
		return c, errors.New("limits.cores: not above 0")
	}
	if c.MemoryMB < leastMemoryMB {
		return c, fmt.Errorf("limits.memory_mb: under %d", leastMemoryMB)
	}
	if c.Sockets < leastSockets {
		return c, fmt.Errorf("limits.sockets: under %d", leastSockets)
	}
	seed := root.Get("seed")
	if seed.Type != gjson.String || seed.Str == "" {
		return c, errors.New("seed: missing")
	}
	var err error
	if c.Seed, err = strconv.ParseUint(seed.Str, 16, 64); err != nil {
		h := fnv.New64a() // any text will do
		_, _ = h.Write([]byte(seed.Str))
		c.Seed = h.Sum64()
	}
	if known := root.Get("known"); known.Exists() && known.Type != gjson.Null {
		if c.Known, err = discovery.ParseList([]byte(known.Raw)); err != nil {
			return c, fmt.Errorf("known: %w", err)
		}
	}
	if c.Settings, err = settings.Decode([]byte(root.Get("settings").Raw)); err != nil {
		return c, err
	}
	if c.Peers, err = peersOf(root, c.Settings); err != nil {
		return c, err
	}
	if c.Settings.Balance, err = c.Settings.Balance.Checked(); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	c.shape = settings.ShapeOf(root, freeKeys...)
	return c, nil
}

// replacedBy says why a configuration can't take the place of this one; nil: it can. A file that was cut off or lost a key
// can still be read, with zeros for what it lacks.
func (c Config) replacedBy(_ Config, raw []byte) error {
	root := gjson.ParseBytes(raw)
	if err := c.shape.Check(root); err != nil {
		return err
	}
	return settings.CheckPositive(root.Get("settings"))
}

// peersOf reads the addresses of the tier. A tier without any just does without.
func peersOf(root gjson.Result, s settings.Settings) (p Peers, err error) {
	listen, all := root.Get("peer_listen").Str, root.Get("peers_all").Str
	if !s.Peers || s.Balance.Routers < 2 || listen == "" || all == "" {
		return p, nil
	}
	if p.Listen, err = netip.ParseAddrPort(listen); err != nil {
		return p, fmt.Errorf("peer_listen: %w", err)
	}
	if p.All, err = netip.ParseAddrPort(all); err != nil {
		return p, fmt.Errorf("peers_all: %w", err)
	}
	if list := root.Get("peers").Array(); s.Ordinal >= 0 && s.Ordinal < len(list) {
		if p.Self, err = netip.ParseAddrPort(list[s.Ordinal].Str); err != nil {
			return p, fmt.Errorf("peers.%d: %w", s.Ordinal, err)
		}
	}
	return p, nil
}

// Override puts what is not empty in place of what the configuration holds, and checks the addresses.
func (c *Config) Override(name, listen, discovery, admin string) error {
	for _, f := range []struct {
		to    *string
		value string
	}{{&c.Name, name}, {&c.Listen, listen}, {&c.Discovery, discovery}, {&c.Admin, admin}} {
		if f.value != "" {
			*f.to = f.value
		}
	}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if _, err := netip.ParseAddrPort(c.Discovery); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if c.Admin != "" {
		if _, err := netip.ParseAddrPort(c.Admin); err != nil {
			return fmt.Errorf("admin: %w", err)
		}
	}
	return nil
}
