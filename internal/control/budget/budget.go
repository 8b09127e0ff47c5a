// Package budget shares a limited number of bytes among messages that are received slowly. Each message
// states in its header the maximum that it needs, and allocates that piece by piece as it arrives. A piece is
// granted only if all open messages can still complete in some order, where each releases its bytes before
// the next one needs them (the banker's algorithm). Messages may therefore need far more in total than is
// available without a deadlock. The package does no I/O and does not read a clock.
package budget

import (
	"cmp"
	"slices"
)

// Holding is the allocation of one message.
type Holding struct {
	need, held int64 // in bytes
	complete   bool  // the message needs no more bytes and releases all of them within a limited time
}

// Held returns the number of bytes that the message holds.
func (h *Holding) Held() int64 { return h.held }

// Budget is a number of bytes that is shared among messages. It is not safe for concurrent use.
type Budget struct {
	total, used int64 // in bytes
	open        []*Holding
	order       []*Holding // buffer that safe reuses
}

// New returns a budget of total bytes.
func New(total int64) *Budget { return &Budget{total: total} }

// Used returns the number of bytes that all messages hold.
func (b *Budget) Used() int64 { return b.used }

// Resize changes the total. Bytes that are held stay allocated. After a reduction nothing is granted until
// enough bytes have been released.
func (b *Budget) Resize(total int64) { b.total = total }

// Open starts a message that needs at most the given number of bytes. It returns nil if that is negative or
// more than the total.
func (b *Budget) Open(need int64) *Holding {
	if need < 0 || need > b.total {
		return nil
	}
	h := &Holding{need: need}
	b.open = append(b.open, h)
	return h
}

// Take allocates n more bytes to a message and reports whether they were granted. If not, the caller may try
// again later, but bytes beyond the message's stated need are never granted.
func (b *Budget) Take(h *Holding, n int64) bool {
	if n <= 0 {
		return true
	}
	if h.held+n > h.need || b.used+n > b.total {
		return false
	}
	h.held += n
	b.used += n
	if b.safe() {
		return true
	}
	h.held -= n
	b.used -= n
	return false
}

// Raise increases the stated need of a message if all open messages can still complete, and reports whether
// it did.
func (b *Budget) Raise(h *Holding, need int64) bool {
	old := h.need
	if need <= old || need > b.total {
		return need <= old
	}
	if h.need = need; b.safe() {
		return true
	}
	h.need = old
	return false
}

// safe reports whether all open messages can complete. It checks them in the order of their remaining need,
// the smallest first, because the bytes that a completed message releases are available to the others.
func (b *Budget) safe() bool {
	free := b.total - b.used
	b.order = b.order[:0]
	for _, h := range b.open {
		if h.complete {
			free += h.held
		} else {
			b.order = append(b.order, h)
		}
	}
	slices.SortFunc(b.order, func(x, y *Holding) int { return cmp.Compare(x.need-x.held, y.need-y.held) })
	for _, h := range b.order {
		if h.need-h.held > free {
			return false
		}
		free += h.held
	}
	return true
}

// Complete marks a message as complete, so that it needs no more bytes.
func (b *Budget) Complete(h *Holding) { h.complete, h.need = true, h.held }

// Close releases all bytes of a message. Closing it again has no effect.
func (b *Budget) Close(h *Holding) {
	i := slices.Index(b.open, h)
	if i < 0 {
		return
	}
	b.open = slices.Delete(b.open, i, i+1)
	b.used -= h.held
	h.held, h.need = 0, 0
}
