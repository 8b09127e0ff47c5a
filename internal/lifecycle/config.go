// Package lifecycle starts the gateway, connects its parts, applies reloads and hot restarts, and shuts it down.
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

// Config is the configuration that a gateway is started with. Cores, MemoryMB and Sockets limit the process's processor cores,
// memory and file descriptors. Known is the endpoint list in the file, which may be empty.
type Config struct {
	Name, Listen, Discovery string
	Admin                   string // address of the administration calls, or empty if there is none
	Seed                    uint64
	Cores                   float64
	MemoryMB, Sockets       int
	Known                   discovery.List
	Peers                   Peers
	Settings                settings.Settings
	shape                   *settings.Shape // keys and types of the file, which a replacement must have as well
	fileDiscovery           string          // discovery address in the file, before Override
}

// Peers holds the addresses for gossip messages between gateways. It is empty if the settings do not allow them or if
// there is only one gateway.
type Peers struct {
	Listen, All, Self netip.AddrPort
}

const (
	minSockets  = 64
	minMemoryMB = 32
)

// optionalKeys are the keys that may be missing from a reloaded configuration, as a reload uses none of them.
var optionalKeys = []string{"known", "admin", "seed"}

// LoadConfig reads and validates the configuration file at path. The error names the invalid field.
func LoadConfig(path string) (Config, error) {
	return load(path, func(Config, []byte) error { return nil })
}

// ReloadConfig reads and validates a configuration that is to replace c. The error names the invalid field.
func (c Config) ReloadConfig(path string) (Config, error) { return load(path, c.checkReplacement) }

func load(path string, validate func(Config, []byte) error) (Config, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	c, err := ParseConfig(b)
	if err == nil {
		err = validate(c, b)
	}
	if err != nil {
		return c, fmt.Errorf("config: %s: %w", path, err)
	}
	return c, nil
}

// ParseConfig parses and validates a configuration. The error names the invalid field.
func ParseConfig(b []byte) (Config, error) {
	if !gjson.ValidBytes(b) {
		return Config{}, errors.New("not JSON")
	}
	root := gjson.ParseBytes(b)
	c := Config{Name: root.Get("name").Str, Listen: root.Get("listen").Str, Discovery: root.Get("discovery").Str,
		Admin: root.Get("admin").Str, Cores: root.Get("limits.cores").Num, MemoryMB: int(root.Get("limits.memory_mb").Int()),
		Sockets: int(root.Get("limits.sockets").Int())}
	c.fileDiscovery = c.Discovery
	if err := c.Override("", "", "", ""); err != nil {
		return c, err
	}
	if !(c.Cores > 0) {
		return c, errors.New("limits.cores: must be above 0")
	}
	if c.MemoryMB < minMemoryMB {
		return c, fmt.Errorf("limits.memory_mb: must be at least %d", minMemoryMB)
	}
	if c.Sockets < minSockets {
		return c, fmt.Errorf("limits.sockets: must be at least %d", minSockets)
	}
	seed := root.Get("seed")
	if seed.Type != gjson.String || seed.Str == "" {
		return c, errors.New("seed: missing")
	}
	var err error
	if c.Seed, err = strconv.ParseUint(seed.Str, 16, 64); err != nil {
		h := fnv.New64a() // a seed that is not a hexadecimal number is hashed
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
	if c.Peers, err = parsePeers(root, c.Settings); err != nil {
		return c, err
	}
	if c.Settings.Balance, err = c.Settings.Balance.Checked(); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	c.shape = settings.ShapeOf(root, optionalKeys...)
	return c, nil
}

// checkReplacement returns an error if the new configuration cannot replace c. A truncated file or one without some keys
// can still parse, with zero values for what is missing, so the raw keys are compared with those of the file of c.
func (c Config) checkReplacement(_ Config, raw []byte) error {
	root := gjson.ParseBytes(raw)
	if err := c.shape.Check(root); err != nil {
		return err
	}
	return settings.CheckPositive(root.Get("settings"))
}

// parsePeers reads the peer addresses. A configuration without them is valid: the gateway then sends no gossip.
func parsePeers(root gjson.Result, s settings.Settings) (p Peers, err error) {
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

// Override replaces values of the configuration by the arguments that are not empty, and validates the addresses.
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
