// Package settings decodes the settings object that every instance is given, on the simulator's wire as in the
// gateway's configuration. It is the only decoder of that object; it decides nothing.
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

// Settings is the object, as far as this project reads it.
type Settings struct {
	Balance        balance.Settings // the module's part
	PositionOrigin time.Duration    // the simulator's clock time that positions are counted from
	// ConnIdle and ConnectTimeout bound connections to database hosts; 0 where the settings name none.
	ConnIdle, ConnectTimeout time.Duration
	ReportColumns            []string // the values a load report holds; none where there are no reports
	Peers                    bool     // gateways may send each other datagrams
	Ordinal                  int      // of this gateway, from 0
}

var (
	needs = map[string]balance.Need{"loose": balance.AnyData, "recent": balance.Bounded,
		"own_writes": balance.Session, "latest": balance.Latest, "update": balance.Write}
	effects = map[string]balance.Effect{"retryable": balance.Safe, "dedup": balance.Keyed,
		"fragile": balance.Unsafe}
	scopes = map[string]balance.Scope{"": balance.ScopeAll, "all": balance.ScopeAll,
		"zone": balance.ScopeZone, "cell": balance.ScopeGroup}
	checks = map[string]balance.Checks{"": balance.ChecksNone, "silent": balance.ChecksNone,
		"reject": balance.ChecksRefuse, "hold": balance.ChecksWait}
)

// Decode reads the object. The error names the field that is at fault.
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
		PositionOrigin: d.span(top, "domain.zero"),
		Peers:          d.truth(top, "limits.peers"), Ordinal: d.whole(top, "ordinal"),
		ConnIdle: d.span(top, "limits.connIdle"), ConnectTimeout: d.span(top, "limits.connectTimeout"),
		Balance: balance.Settings{
			Routers: d.whole(top, "balancers"), Tick: d.span(top, "step"),
			OverShareWorth:  d.number(top, "overShareWorth"),
			Checks:          word(d, top, "domain.behind", checks),
			TokensCarried:   d.text(top, "domain.tokens") == "client",
			SubscribeToList: d.text(top, "membershipMode") == "ask",
			Probes:          d.truth(top, "limits.probes"), Cancel: d.truth(top, "limits.mayCancel"),
			RetryAfter:      d.truth(top, "limits.retryAfter"),
			MaxRetryAfter:   d.span(top, "limits.maxRetryAfter"),
			MaxAttempts:     d.whole(top, "limits.maxAttempts"),
			DrainGrace:      d.span(top, "contract.stopSendingWithin"),
			OverloadFactor:  d.number(top, "contract.overloadFactor"),
			ColdShare:       d.number(top, "contract.coldFrom"),
			ColdTime:        d.span(top, "contract.cold"),
			DroppedStayOpen: d.truth(top, "contract.droppedStayOpen"),
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
		d.at = fmt.Sprintf("profiles.%d.", i)
		c := balance.Class{Name: d.text(p, "name"),
			Effect: word(d, p, "effect", effects), Scope: word(d, p, "group", scopes),
			KeyTTL: d.span(p, "keyTtl"), LatencyTarget: d.span(p, "onTime"), Deadline: d.span(p, "giveUp"),
			Worth: d.number(p, "credit"), LateWorth: d.number(p, "lateWorth")}
		var known bool
		if c.Need, known = needs[need[i].String()]; !known {
			d.fail(fmt.Sprintf("domain.consistency.%d", i), "unknown word "+need[i].Raw)
		}
		if c.Need == balance.Bounded {
			c.Bound = time.Duration(oldest[i].Int())
		}
		out.Balance.Classes = append(out.Balance.Classes, c)
	}
	for i, t := range d.list(top, "tenants", -1) {
		d.at = fmt.Sprintf("tenants.%d.", i)
		out.Balance.Tenants = append(out.Balance.Tenants,
			balance.Tenant{Name: d.text(t, "name"), PerSec: d.number(t, "quotaPerS")})
	}
	return out, d.err
}

// Report makes a load report of its named values; zero is the clock time that its position counts from.
func Report(values map[string]float64, zero time.Duration) balance.Report {
	x0, ok := values["x0"]
	if !ok {
		return balance.Report{}
	}
	// Reports state thousandths of a second; a whole one is taken off so that rounding never flatters.
	ms := math.Floor(x0*1000+1e-6) - 1
	out := balance.Report{Valid: true, Position: zero + time.Duration(ms)*time.Millisecond}
	out.NotBefore = out.Position
	if leads, told := values["x1"]; told && leads == 1 {
		out.Role = balance.Primary
	} else if told {
		out.Role = balance.Replica
	}
	return out
}

// decoder keeps the first error; at is the path of the object that is being read.
type decoder struct {
	root gjson.Result
	at   string
	err  error
}

func (d *decoder) fail(path, what string) {
	if d.err == nil {
		d.err = fmt.Errorf("settings.%s: %s", path, what)
	}
}

// get returns a value of one of the types; an absent one or null is the zero Result, another is an error.
func (d *decoder) get(o gjson.Result, path string, types ...gjson.Type) gjson.Result {
	v := o.Get(path)
	if v.Type != gjson.Null && !slices.Contains(types, v.Type) {
		d.fail(d.at+path, "does not take "+v.Raw)
		return gjson.Result{}
	}
	return v
}

func (d *decoder) number(o gjson.Result, path string) float64 {
	return d.get(o, path, gjson.Number).Num
}
func (d *decoder) text(o gjson.Result, path string) string { return d.get(o, path, gjson.String).Str }
func (d *decoder) truth(o gjson.Result, path string) bool {
	return d.get(o, path, gjson.True, gjson.False).Bool()
}

// span reads nanoseconds.
func (d *decoder) span(o gjson.Result, path string) time.Duration {
	return time.Duration(d.get(o, path, gjson.Number).Int())
}

func (d *decoder) whole(o gjson.Result, path string) int {
	return int(d.get(o, path, gjson.Number).Int())
}

// list reads an array; one that does not have the wanted length is an error.
func (d *decoder) list(o gjson.Result, path string, want int) []gjson.Result {
	v := o.Get(path)
	if v.Exists() && v.Type != gjson.Null && !v.IsArray() {
		d.fail(d.at+path, "not a list")
		return nil
	}
	out := v.Array()
	if want >= 0 && len(out) != want {
		d.fail(d.at+path, "not one entry for each of profiles")
	}
	return out
}

func word[T any](d *decoder, o gjson.Result, path string, words map[string]T) T {
	s := d.text(o, path)
	v, ok := words[s]
	if !ok {
		d.fail(d.at+path, fmt.Sprintf("unknown word %q", s))
	}
	return v
}
