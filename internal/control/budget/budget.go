// Package budget shares a bounded number of bytes among messages that come slowly. Each says at its head how much it will need
// at most, and takes that piece by piece as it comes. A piece is granted only if all messages that have begun can still come
// to their end in some order, each giving back what it held before the next one needs it (the banker's rule). So messages may
// need far more together than there is, and still never wait for each other for ever. It does no I/O and has no clock.
package budget

import (
	"cmp"
	"slices"
)

// Holding is what one message holds.
type Holding struct {
	need, held int64
	whole      bool // it needs no more, and gives all back in bounded time
}

// Held is how much it holds.
func (h *Holding) Held() int64 { return h.held }

// Budget is not safe for concurrent use.
type Budget struct {
	total, used int64
	open        []*Holding
	order       []*Holding // scratch
}

// New makes a budget of so many bytes.
func New(total int64) *Budget { return &Budget{total: total} }

// Used is how much is held.
func (b *Budget) Used() int64 { return b.used }

// Resize changes the total. What is held stays; a smaller total grants nothing until enough has been given back.
func (b *Budget) Resize(total int64) { b.total = total }

// Open begins a message that will need so much at most; nil: more than there ever is.
func (b *Budget) Open(need int64) *Holding {
	if need < 0 || need > b.total {
		return nil
	}
	h := &Holding{need: need}
	b.open = append(b.open, h)
	return h
}

// Take grants a message n bytes more, or not yet. What goes beyond its need is never granted.
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

// Raise lets a message need more than it said, if all can still come to their end then.
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

// safe says whether all can come to their end: who needs least more goes first, as what it then gives back helps the others.
func (b *Budget) safe() bool {
	free := b.total - b.used
	b.order = b.order[:0]
	for _, h := range b.open {
		if h.whole {
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

// Complete says that a message has come to its end and needs no more.
func (b *Budget) Complete(h *Holding) { h.whole, h.need = true, h.held }

// Close gives back all that a message held. Closing twice changes nothing.
func (b *Budget) Close(h *Holding) {
	i := slices.Index(b.open, h)
	if i < 0 {
		return
	}
	b.open = slices.Delete(b.open, i, i+1)
	b.used -= h.held
	h.held, h.need = 0, 0
}
