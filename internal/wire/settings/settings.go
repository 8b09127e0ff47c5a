// Package settings decodes the settings object that every gateway instance is given, on the simulator's wire
// and in the gateway's configuration alike. It is the only decoder of that object and makes no decisions.
package settings

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/tidwall/gjson"

	"yokemast/balance"
)

// Settings holds the part of the settings object that this project uses.
type Settings struct {
	Balance        balance.Settings // settings of the decision module
	PositionOrigin time.Duration    // the simulator's clock time at position 0
	// ConnIdle and ConnectTimeout are the idle timeout and the connect timeout of connections to database
	// hosts, or 0 if not set.
	ConnIdle, ConnectTimeout time.Duration
	ReportColumns            []string // names of the values in a load report; empty if there are no reports
	Peers                    bool     // gateways may send gossip messages to each other
	Ordinal                  int      // number of this gateway, from 0
}

// These maps translate the enumeration values of the settings object; "" stands for an absent value.
var (
	needNames = map[string]balance.Need{"loose": balance.AnyData, "recent": balance.Bounded,
		"own_writes": balance.Session, "latest": balance.Latest, "update": balance.Write}
	effectNames = map[string]balance.Effect{"retryable": balance.Safe, "dedup": balance.Keyed,
		"fragile": balance.Unsafe}
	scopeNames = map[string]balance.Scope{"": balance.ScopeAll, "all": balance.ScopeAll,
		"zone": balance.ScopeZone, "cell": balance.ScopeGroup}
	checkNames = map[string]balance.Checks{"": balance.ChecksNone, "silent": balance.ChecksNone,
		"reject": balance.ChecksRefuse, "hold": balance.ChecksWait}
)

// Decode decodes the settings object. The error names the invalid field.
func Decode(object []byte) (Settings, error) {
	if !gjson.ValidBytes(object) {
		return Settings{}, errors.New("settings: not JSON")
	}
	d := &decoder{root: gjson.ParseBytes(object)}
	if !d.root.IsObject() {
		return Settings{}, errors.New("settings: not an object")
	}
	top := d.root
	out := Settings{
		PositionOrigin: d.duration(top, "domain.zero"),
		Peers:          d.boolean(top, "limits.peers"), Ordinal: d.integer(top, "ordinal"),
		ConnIdle: d.duration(top, "limits.connIdle"), ConnectTimeout: d.duration(top, "limits.connectTimeout"),
		Balance: balance.Settings{
			Routers: d.integer(top, "balancers"), Tick: d.duration(top, "step"),
			OverShareWorth:  d.number(top, "overShareWorth"),
			Checks:          enum(d, top, "domain.behind", checkNames),
			TokensCarried:   d.text(top, "domain.tokens") == "client",
			SubscribeToList: d.text(top, "membershipMode") == "ask",
			Probes:          d.boolean(top, "limits.probes"), Cancel: d.boolean(top, "limits.mayCancel"),
			RetryAfter:      d.boolean(top, "limits.retryAfter"),
			MaxRetryAfter:   d.duration(top, "limits.maxRetryAfter"),
			MaxAttempts:     d.integer(top, "limits.maxAttempts"),
			DrainGrace:      d.duration(top, "contract.stopSendingWithin"),
			OverloadFactor:  d.number(top, "contract.overloadFactor"),
			ColdShare:       d.number(top, "contract.coldFrom"),
			ColdTime:        d.duration(top, "contract.cold"),
			DroppedStayOpen: d.boolean(top, "contract.droppedStayOpen"),
		},
	}
	if report := top.Get("report"); d.text(report, "how") != "silent" {
		for _, c := range d.list(report, "columns", -1) {
			out.ReportColumns = append(out.ReportColumns, c.String())
		}
	}
	profiles := d.list(top, "profiles", -1)
	need := d.list(top, "domain.consistency", len(profiles))
	oldest := d.list(top, "domain.oldestData", len(profiles))
	if d.err != nil {
		return out, d.err
	}
	for i, p := range profiles {
		d.prefix = fmt.Sprintf("profiles.%d.", i)
		c := balance.Class{Name: d.text(p, "name"),
			Effect: enum(d, p, "effect", effectNames), Scope: enum(d, p, "group", scopeNames),
			KeyTTL: d.duration(p, "keyTtl"), LatencyTarget: d.duration(p, "onTime"), Deadline: d.duration(p, "giveUp"),
			Worth: d.number(p, "credit"), LateWorth: d.number(p, "lateWorth")}
		var known bool
		if c.Need, known = needNames[need[i].String()]; !known {
			d.fail(fmt.Sprintf("domain.consistency.%d", i), "unknown value "+need[i].Raw)
		}
		if c.Need == balance.Bounded {
			c.Bound = time.Duration(oldest[i].Int())
		}
		out.Balance.Classes = append(out.Balance.Classes, c)
	}
	for i, t := range d.list(top, "tenants", -1) {
		d.prefix = fmt.Sprintf("tenants.%d.", i)
		out.Balance.Tenants = append(out.Balance.Tenants,
			balance.Tenant{Name: d.text(t, "name"), PerSec: d.number(t, "quotaPerS")})
	}
	return out, d.err
}

// Report returns the load report with the given named values; zero is the clock time at position 0.
func Report(values map[string]float64, zero time.Duration) balance.Report {
	x0, ok := values["x0"]
	if !ok {
		return balance.Report{}
	}
	// Reports state positions in thousandths of a second. One whole thousandth is subtracted, so that
	// rounding never makes a position look newer than it is.
	ms := math.Floor(x0*1000+1e-6) - 1
	out := balance.Report{Valid: true, Position: zero + time.Duration(ms)*time.Millisecond}
	out.NotBefore = out.Position
	if primary, stated := values["x1"]; stated && primary == 1 {
		out.Role = balance.Primary
	} else if stated {
		out.Role = balance.Replica
	}
	return out
}

// decoder keeps the first error. Its prefix is the path of the object that is being decoded.
type decoder struct {
	root   gjson.Result
	prefix string
	err    error
}

func (d *decoder) fail(path, what string) {
	if d.err == nil {
		d.err = fmt.Errorf("settings.%s: %s", path, what)
	}
}

// get returns the value at a path if it has one of the types. It returns the zero Result if the value is
// absent or null, and records an error if it has another type.
func (d *decoder) get(o gjson.Result, path string, types ...gjson.Type) gjson.Result {
	v := o.Get(path)
	if v.Type != gjson.Null && !slices.Contains(types, v.Type) {
		d.fail(d.prefix+path, "invalid value "+v.Raw)
		return gjson.Result{}
	}
	return v
}

func (d *decoder) number(o gjson.Result, path string) float64 {
	return d.get(o, path, gjson.Number).Num
}
func (d *decoder) text(o gjson.Result, path string) string { return d.get(o, path, gjson.String).Str }
func (d *decoder) boolean(o gjson.Result, path string) bool {
	return d.get(o, path, gjson.True, gjson.False).Bool()
}

// duration returns a duration given in nanoseconds.
func (d *decoder) duration(o gjson.Result, path string) time.Duration {
	return time.Duration(d.get(o, path, gjson.Number).Int())
}

func (d *decoder) integer(o gjson.Result, path string) int {
	return int(d.get(o, path, gjson.Number).Int())
}

// list returns the elements of an array. It records an error if want is not negative and the length is not
// want.
func (d *decoder) list(o gjson.Result, path string, want int) []gjson.Result {
	v := o.Get(path)
	if v.Exists() && v.Type != gjson.Null && !v.IsArray() {
		d.fail(d.prefix+path, "not an array")
		return nil
	}
	out := v.Array()
	if want >= 0 && len(out) != want {
		d.fail(d.prefix+path, "must have one entry per profile")
	}
	return out
}

// enum returns the value that values has for the text at a path. It records an error if there is none.
func enum[T any](d *decoder, o gjson.Result, path string, values map[string]T) T {
	s := d.text(o, path)
	v, ok := values[s]
	if !ok {
		d.fail(d.prefix+path, fmt.Sprintf("unknown value %q", s))
	}
	return v
}
