package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"yokemast/balance"
)

func TestDecode(t *testing.T) {
	got, err := Decode([]byte(`{"balancers":2,"step":5000000,"membershipMode":"push","overShareWorth":0.1,"unheard":1,
		"profiles":[{"name":"r","effect":"retryable","group":"all","onTime":3,"giveUp":4,"keyTtl":5,"credit":1.5},
			{"name":"w","effect":"fragile","lateWorth":0.7}],
		"domain":{"behind":"silent","consistency":["recent","update"],"oldestData":[500,0],"tokens":"client","zero":9},
		"limits":{"connIdle":30,"connectTimeout":25,"maxAttempts":10,"maxRetryAfter":8,"mayCancel":true,"probes":true,
			"retryAfter":true},
		"contract":{"cold":16,"coldFrom":0.25,"overloadFactor":4,"stopSendingWithin":7},
		"report":{"columns":["x0","x1"],"how":"piggyback"},"tenants":[{"name":"t","quotaPerS":2.5}]}`))
	if err != nil {
		t.Fatal(err)
	}
	want := Settings{PositionOrigin: 9, ConnIdle: 30, ConnectTimeout: 25, ReportColumns: []string{"x0", "x1"},
		Balance: balance.Settings{Routers: 2, Tick: 5 * time.Millisecond, OverShareWorth: 0.1, TokensCarried: true,
			Probes: true, Cancel: true, RetryAfter: true, MaxRetryAfter: 8, MaxAttempts: 10, DrainGrace: 7,
			OverloadFactor: 4, ColdShare: 0.25, ColdTime: 16,
			Classes: []balance.Class{
				{Name: "r", Need: balance.Bounded, Bound: 500, LatencyTarget: 3, Deadline: 4, KeyTTL: 5, Worth: 1.5},
				{Name: "w", Need: balance.Write, Effect: balance.Unsafe, LateWorth: 0.7}},
			Tenants: []balance.Tenant{{Name: "t", PerSec: 2.5}}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestDecodeErrorNamesField(t *testing.T) {
	for field, object := range map[string]string{
		"settings:":                         `{`,
		"settings.step:":                    `{"step":"soon"}`,
		"settings.domain.consistency:":      `{"domain":{"consistency":["loose"]}}`,
		"settings.domain.consistency.0:":    `{"profiles":[{"effect":"retryable"}],"domain":{"consistency":["x"],"oldestData":[0]}}`,
		"settings.profiles.0.effect:":       `{"profiles":[{"effect":"x"}],"domain":{"consistency":["loose"],"oldestData":[0]}}`,
		"settings.limits.probes:":           `{"limits":{"probes":1}}`,
		"settings.profiles:":                `{"profiles":{}}`,
		"settings.contract.overloadFactor:": `{"contract":{"overloadFactor":"4"}}`,
	} {
		if _, err := Decode([]byte(object)); err == nil || !strings.HasPrefix(err.Error(), field) {
			t.Errorf("%s: error %v, want prefix %q", object, err, field)
		}
	}
}
