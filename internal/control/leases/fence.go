package leases

import (
	"errors"
	"fmt"
)

// ErrStale is what a Fence says of a token older than the newest it has seen.
var ErrStale = errors.New("stale fencing token")

// Fence is what an acted-on side keeps: the newest token seen for each resource. It guards against a holder that
// was paused, or cut off, past the end of its lease and acts when it wakes, after the lease passed to another. Its zero
// value is ready. It is not safe for concurrent use.
type Fence struct {
	newest  map[string]uint64
	refused uint64
}

// Admit takes a token for an act on a resource: a token as new as the newest, or newer, is admitted and becomes the
// newest; an older one is refused with ErrStale.
func (f *Fence) Admit(resource string, token uint64) error {
	if f.newest == nil {
		f.newest = make(map[string]uint64)
	}
	if n := f.newest[resource]; token < n {
		f.refused++
		return fmt.Errorf("token %d for %q, newest %d: %w", token, resource, n, ErrStale)
	}
	f.newest[resource] = token
	return nil
}

// Newest is the newest token seen for a resource; 0 for none.
func (f *Fence) Newest(resource string) uint64 { return f.newest[resource] }

// Refused counts refused tokens.
func (f *Fence) Refused() uint64 { return f.refused }
