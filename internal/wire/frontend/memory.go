package frontend

import "sync"

const (
	// freeMemory is how many bytes of a session's input are held at no cost to the budget: what an ordinary client sends at a
	// time must not be refused because of others. The number of clients bounds the sum.
	freeMemory = 16 << 10
	// commandCost is what a queued command or a message of a pool's client takes besides its text: its entry in a queue or
	// list that grows, what it is translated to, and what is expected as its answer.
	commandCost = 512
	// copiesOfText is how many times the text of a pool's client is held while it is classified, translated and sent.
	copiesOfText = 4
	// classifiedCost is what a classified statement takes in a list that grows.
	classifiedCost = 160
)

// byteBudget bounds the memory for what clients have sent, so that it always fits into that of the process.
type byteBudget struct {
	mu   sync.Mutex
	left int64
}

func (b *byteBudget) acquire(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if int64(n) > b.left {
		return false
	}
	b.left -= int64(n)
	return true
}

func (b *byteBudget) release(n int) {
	b.mu.Lock()
	b.left += int64(n)
	b.mu.Unlock()
}

// sessionMemory is the memory that is held for one client. What exceeds freeMemory counts against the budget of all. It is safe
// for concurrent use.
type sessionMemory struct {
	budget *byteBudget

	mu   sync.Mutex
	used int // bytes held for the client
	held int // bytes of the budget held for it
}

// acquire adds n bytes. It returns false, and adds none, if the budget has no room for them.
func (m *sessionMemory) acquire(n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	more := max(0, m.used+n-freeMemory) - m.held
	if more > 0 && !m.budget.acquire(more) {
		return false
	}
	m.used, m.held = m.used+n, m.held+max(0, more)
	return true
}

// release takes n bytes off.
func (m *sessionMemory) release(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
	if surplus := m.held - max(0, m.used-freeMemory); surplus > 0 {
		m.held -= surplus
		m.budget.release(surplus)
	}
}
