package lifecycle

import (
	"testing"

	"yokemast/internal/control/listwatch"
	"yokemast/internal/memory/exchange"
	"yokemast/internal/wire/discovery"
)

func TestFirstRevision(t *testing.T) {
	for name, c := range map[string]struct {
		members   int
		inherited bool
		want      int64
	}{
		"list in the file":                    {1, false, 41},
		"no list in the file":                 {0, false, listwatch.NoRevision},
		"list in the file and handover state": {1, true, listwatch.NoRevision},
	} {
		if got := firstRevision(discovery.List{Revision: 41, Members: make([]exchange.Member, c.members)}, c.inherited); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}
