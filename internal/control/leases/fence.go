package leases

import (
	"errors"
	"fmt"
)

// ErrStale is returned by Fence.Admit for a token that is older than the newest one seen.
var ErrStale = errors.New("stale fencing token")

// Fence protects resources from former lease holders: it keeps the newest token seen for each resource and
// refuses older ones. A holder that was paused or partitioned until after the end of its lease may still act
// when it resumes, although the lease has been granted to another holder. The zero value is ready for use. It
// is not safe for concurrent use.
type Fence struct {
	newest  map[string]uint64
	refused uint64
}

// Admit checks the token of an action on a resource. A token that is not older than the newest one seen
// becomes the newest; an older one is refused with ErrStale.
func (f *Fence) Admit(resource string, token uint64) error {
	if f.newest == nil {
		f.newest = make(map[string]uint64)
	}
	if n := f.newest[resource]; token < n {
		f.refused++
		return fmt.Errorf("token %d for %q is older than %d: %w", token, resource, n, ErrStale)
	}
	f.newest[resource] = token
	return nil
}

// Newest returns the newest token seen for a resource, or 0 if there is none.
func (f *Fence) Newest(resource string) uint64 { return f.newest[resource] }

// Refused returns the number of refused tokens.
func (f *Fence) Refused() uint64 { return f.refused }
