// Package discovery reads the endpoint list of database hosts: a snapshot at the start, then snapshots and
// deltas by a long-polling watch.
package discovery

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/tidwall/gjson"

	"yokemast/balance"
	"yokemast/internal/memory/exchange"
)

// List is one answer of discovery: a snapshot of the endpoint list if Complete, a delta otherwise.
type List struct {
	Revision int64
	Complete bool
	Members  []exchange.Member
}

var phases = map[string]balance.State{"SERVING": balance.Active, "DRAINING": balance.Draining,
	"DELETED": balance.Removed}

// ParseList parses an endpoint list. The error names the invalid field; an invalid list must not be used in
// part.
func ParseList(b []byte) (List, error) {
	if !gjson.ValidBytes(b) {
		return List{}, errors.New("list: not JSON")
	}
	root := gjson.ParseBytes(b)
	revision, complete, entries := root.Get("revision"), root.Get("complete"), root.Get("members")
	out := List{Revision: revision.Int(), Complete: complete.Bool()}
	switch {
	case !root.IsObject():
		return out, errors.New("list: not an object")
	case revision.Type != gjson.Number || out.Revision < 0:
		return out, errors.New("list: revision is not a whole number")
	case !complete.IsBool():
		return out, errors.New("list: complete is not a boolean")
	case !entries.IsArray() && entries.Type != gjson.Null:
		return out, errors.New("list: members is not an array")
	}
	for i, e := range entries.Array() {
		m, err := parseMember(e)
		if err != nil {
			return out, fmt.Errorf("list: members.%d.%w", i, err)
		}
		out.Members = append(out.Members, m)
	}
	return out, nil
}

func parseMember(e gjson.Result) (exchange.Member, error) {
	state, known := phases[e.Get("phase").Str]
	id, address := e.Get("id"), e.Get("host_port").Str
	cell, size, start, role := e.Get("cell"), e.Get("size"), e.Get("up_since_ms"), e.Get("role")
	m := exchange.Member{Address: address, Member: balance.Member{Server: id.Str, Group: int(cell.Int()), State: state,
		Primary: role.Str == "leader", Weight: 1, Started: time.Duration(start.Int()) * time.Millisecond}}
	if size.Type == gjson.Number {
		m.Weight = size.Num
	}
	switch _, err := netip.ParseAddrPort(address); {
	case id.Type != gjson.String || id.Str == "":
		return m, errors.New("id: missing")
	case !known:
		return m, fmt.Errorf("phase: unknown value %s", e.Get("phase").Raw)
	case err != nil && state != balance.Removed:
		return m, fmt.Errorf("host_port: %w", err)
	case cell.Type != gjson.Number && cell.Type != gjson.Null:
		return m, errors.New("cell: not a number")
	case size.Type != gjson.Number && size.Type != gjson.Null:
		return m, errors.New("size: not a number")
	case start.Type != gjson.Number && start.Type != gjson.Null || start.Int() < 0 || start.Int() > 1<<42:
		return m, errors.New("up_since_ms: not a Unix time in milliseconds")
	}
	return m, nil
}
